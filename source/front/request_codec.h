#ifndef FRONT_REQUEST_CODEC_H_
#define FRONT_REQUEST_CODEC_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/client_call.h"
#include "net/http.h"

namespace comfreyfold {

// What the daemon adds to a client's request before it goes to a backend
// server.
struct ServerRequestParams {
  std::string server_id;  // A server with another id refuses the request.
  std::chrono::milliseconds time_left{0};
  std::optional<std::string> last_event_id;  // Resume a stream after it.
};

// Translates between the HTTP messages of a deployment's clients and backend
// servers and the daemon's own types.
struct RequestCodec {
  // Throws std::runtime_error if a header cannot be decoded.
  std::function<ClientCall(const HttpRequest&)> decode_call;
  std::function<HttpRequest(const HttpRequest&, const ServerRequestParams&)>
      encode_server_request;
  std::function<ServerAnswer(const HttpReply&)> decode_answer;
  // The request that asks a server for its state.
  HttpRequest state_request;
  // Returns when the process that sent this reply to `state_request` started,
  // since the Unix epoch; null if it does not tell.
  std::function<std::optional<std::chrono::milliseconds>(const HttpReply&)>
      decode_process_start;
  // Returns the headers of a server's answer that are passed to the client.
  std::function<std::vector<HttpHeader>(const HttpReply&)>
      client_answer_headers;
};

}  // namespace comfreyfold

#endif  // FRONT_REQUEST_CODEC_H_
