#ifndef FRONT_SERVER_CALL_H_
#define FRONT_SERVER_CALL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "core/event_stream_parser.h"
#include "core/memory_budget.h"
#include "core/routing.h"
#include "core/server_pool.h"
#include "core/time_point.h"
#include "core/verdict.h"
#include "front/request_codec.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyfold {

// Outcome of one attempt to run a request at one server.
struct ServerCallResult {
  Verdict verdict = Verdict::kNotRun;
  // The server's complete answer; null when there is none to pass on. For a
  // stream it holds the status and headers only, because the events have
  // already been sent to the client.
  std::optional<HttpReply> answer;
  ServerAnswer metadata;
  BodyFraming framing = BodyFraming::kLength;
  std::int64_t unfinished_event_bytes = 0;  // After the last complete event.
  std::string failure;  // Why there is no answer; written to the log.
  ExchangeResult exchange = ExchangeResult::kAbandoned;
};

// The part of a stream that the client has received so far, over all attempts.
struct StreamProgress {
  std::int64_t events = 0;
  std::string last_event_id;
  std::string output;  // The data of all events, each followed by a line feed.
  bool head_sent = false;  // Status and headers have been sent to the client.
  std::chrono::milliseconds time_to_first_event{0};  // From arrival.
  std::string trailing_bytes;  // Received after the last complete event.
};

// Sends a request to one server and receives its answer. The events of a
// stream are forwarded to the client as they arrive; any other answer is
// returned complete.
class ServerCall {
 public:
  struct Input {
    const Route& route;
    const std::string& request_id;
    const HttpRequest& request;  // As sent to the server, without the body.
    const std::string& body;
    const AcquiredSlot& slot;
    TimePoint arrived;
    TimePoint deadline;
    const TimePoint& stop_at;  // When the daemon stops; may change meanwhile.
    // Events that the request's tokens allow for, over all attempts; 0: any.
    std::int64_t max_events = 0;
    // The server has had this request before. A second copy of its answer may
    // still arrive on the connection used then, under the same request id.
    bool repeated = false;
    // Waits until it is recorded where the stream begins, before its first
    // event is passed on; null: nothing to wait for. Returns false if it could
    // not be recorded, which ends the exchange.
    std::function<bool(Fiber&)> await_record;
    // Whether the server must be the process that is registered at the address.
    bool checks_process = false;
    // Takes what is held of the answer: the body, or the output of a turn.
    MemoryReservation& memory;
  };

  ServerCall(HttpClient& http,
             const RequestCodec& codec,
             HttpExchange& client,
             StreamProgress& progress);

  // Sets the hook that is called when the head of the server's answer arrives.
  void OnHead(std::function<void(const ServerAnswer&)> hook) {
    on_head_ = std::move(hook);
  }

  // Sets the hook that is called when the server says that it is leaving, also
  // in an interim answer or in one to another request.
  void OnLeaving(std::function<void()> hook) { on_leaving_ = std::move(hook); }

  ServerCallResult Run(Fiber& fiber, const Input& input);

 private:
  void CheckLeaving(const ServerAnswer& metadata) const;
  ReplyAction HandleHead(const HttpReply& reply, const Input& input);
  static bool IsRegisteredProcess(const std::string& process,
                                  const Input& input);
  // Names the process that replied with its state; empty: it does not tell.
  std::string IdentifyProcess(const HttpReply& state) const;
  void AwaitRecord(Fiber& fiber, const Input& input);
  void HandleData(Fiber& fiber, std::string_view data, const Input& input);
  // Keeps the data of an event, as a part of the turn's output.
  void KeepOutput(const std::string& data, const Input& input);
  // Whether the stream that has ended lacks a part.
  bool IsCutShort() const;
  void ClassifyReply(HttpReply reply,
                     const Input& input,
                     ServerCallResult& result);

  HttpClient& http_;
  const RequestCodec& codec_;
  HttpExchange& client_;
  StreamProgress& progress_;
  std::function<void(const ServerAnswer&)> on_head_;
  std::function<void()> on_leaving_;
  ServerAnswer metadata_;
  std::uint64_t collected_bytes_ = 0;  // Of a body that is not streamed.
  BodyFraming framing_ = BodyFraming::kLength;
  EventStreamParser events_;
  std::string
      excess_;  // How the stream exceeds its limits; empty if it does not.
  // When the request was sent or its answer last got on by an event.
  TimePoint progress_at_ = std::chrono::steady_clock::now();
  bool streaming_ = false;
  bool recorded_ = false;  // See Input::await_record.
  bool withheld_ = false;  // It could not be recorded.
  bool may_have_sent_ = false;
};

}  // namespace comfreyfold

#endif  // FRONT_SERVER_CALL_H_
