#ifndef FRONT_DIALECT_H_
#define FRONT_DIALECT_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/client_call.h"
#include "net/http.h"

namespace comfreyfold {

// What the system adds to a request on its way to a backend server.
struct Dispatch {
  std::string server_id;  // A server with another id refuses the request.
  std::chrono::milliseconds time_left{0};
  std::optional<std::string> last_event_id;  // Resume a stream after it.
  std::optional<std::string> body;           // Instead of the client's.
};

// How the deployment's callers and backend servers write what the product
// knows by its own types.
struct Dialect {
  // Throws std::runtime_error on headers that cannot be read.
  std::function<ClientCall(const HttpRequest&)> read_call;
  std::function<HttpRequest(const HttpRequest&, const Dispatch&)>
      write_dispatch;
  std::function<ServerAnswer(const HttpReply&)> read_answer;
  // The headers of an answer that its client gets.
  std::function<std::vector<HttpHeader>(const HttpReply&)> answer_headers;
};

}  // namespace comfreyfold

#endif  // FRONT_DIALECT_H_
