#ifndef BACKEND_TOOL_CLIENT_H_
#define BACKEND_TOOL_CLIENT_H_

#include <chrono>
#include <string>

#include "backend/engine_client.h"

namespace comfreyfold {

struct ToolCall {
  std::string name;
  std::string key;      // Idempotency key, forwarded to the server.
  std::string program;  // customer/program
  std::string body;     // Arguments as JSON.
  std::chrono::milliseconds timeout{10000};
};

struct ToolResult {
  int status = 0;
  std::string body;
};

// Client of tool servers and other services; a call is a POST request with a
// JSON body.
class ToolClient {
 public:
  explicit ToolClient(HttpClient& http);

  // Always opens a new connection: if the server has closed a pooled one, it
  // is unknown whether the call ran. Throws BackendFailure.
  ToolResult Call(Fiber& fiber,
                  const std::string& address,
                  const ToolCall& call);

 private:
  HttpClient& http_;
};

}  // namespace comfreyfold

#endif  // BACKEND_TOOL_CLIENT_H_
