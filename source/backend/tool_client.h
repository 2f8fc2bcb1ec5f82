#ifndef BACKEND_TOOL_CLIENT_H_
#define BACKEND_TOOL_CLIENT_H_

#include <chrono>
#include <string>

#include "backend/engine_client.h"

namespace comfreyfold {

struct ToolCall {
  std::string name;
  std::string key;      // Idempotency key, passed on to the server.
  std::string program;  // customer/program
  std::string body;     // JSON arguments.
  std::chrono::milliseconds timeout{10000};
};

struct ToolResult {
  int status = 0;
  std::string body;
};

// Speaks to tool servers and plain services: a POST of JSON.
class ToolClient {
 public:
  explicit ToolClient(HttpClient& http);

  // Throws BackendFailure. Always on a fresh connection: on a kept one a
  // server that went away leaves open whether the call ran.
  ToolResult Call(Fiber& fiber,
                  const std::string& address,
                  const ToolCall& call);

 private:
  HttpClient& http_;
};

}  // namespace comfreyfold

#endif  // BACKEND_TOOL_CLIENT_H_
