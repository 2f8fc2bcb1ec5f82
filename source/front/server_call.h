#ifndef FRONT_SERVER_CALL_H_
#define FRONT_SERVER_CALL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/event_stream_parser.h"
#include "core/routing.h"
#include "core/server_pool.h"
#include "core/time_point.h"
#include "core/verdict.h"
#include "front/dialect.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyfold {

// What became of one request at one server.
struct ServerCallResult {
  Verdict verdict = Verdict::kNotRun;
  // The server's whole answer; null when there is none to pass on. Of a
  // stream only the status and headers, its events went out already.
  std::optional<HttpReply> answer;
  ServerAnswer said;
  std::string failure;  // Why there is no answer, for the log.
  ExchangeResult exchange = ExchangeResult::kLeft;
};

// What a client has got of a stream so far, over all servers that served it.
struct StreamProgress {
  std::int64_t events = 0;
  std::string last_event_id;
  std::string output;  // The data of each event and a line feed.
  bool begun = false;  // The client has the head of the answer.
  std::chrono::milliseconds first_event{0};  // From the request's arrival.
  std::string rest;  // Bytes after the last whole event.
};

// Sends a request to one server and takes its answer. A stream's events go to
// the client as they come; any other answer is returned whole.
class ServerCall {
 public:
  struct Input {
    const Route& route;
    const std::string& request_id;
    const HttpRequest& request;  // As it goes to the server.
    const Place& place;
    TimePoint arrived;
    TimePoint deadline;
  };

  ServerCall(HttpClient& http,
             const Dialect& dialect,
             HttpExchange& client,
             StreamProgress& progress);

  // Told when the head of the server's answer has come.
  void OnHead(std::function<void(const ServerAnswer&)> hook) {
    on_head_ = std::move(hook);
  }

  ServerCallResult Run(Fiber& fiber, const Input& input);

 private:
  ReplyUse TakeHead(const HttpReply& reply, const Input& input);
  void TakeData(std::string_view data, const Input& input);
  void Judge(HttpReply reply, const Input& input, ServerCallResult& result);

  HttpClient& http_;
  const Dialect& dialect_;
  HttpExchange& client_;
  StreamProgress& progress_;
  std::function<void(const ServerAnswer&)> on_head_;
  ServerAnswer said_;
  EventStreamParser events_;
  bool streaming_ = false;
  bool sending_ = false;
};

}  // namespace comfreyfold

#endif  // FRONT_SERVER_CALL_H_
