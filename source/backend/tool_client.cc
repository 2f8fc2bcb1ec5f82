#include "backend/tool_client.h"

namespace comfreyfold {

ToolClient::ToolClient(HttpClient& http) : http_(http) {}

ToolResult ToolClient::Call(Fiber& fiber,
                            const std::string& address,
                            const ToolCall& call) {
  HttpOptions options;
  options.idle_timeout = call.timeout;
  options.fresh_connection = true;
  HttpReply reply;
  try {
    reply = http_.Send(fiber, address,
                       {"POST",
                        "/v1/tools/" + call.name,
                        {{"Content-Type", "application/json"},
                         {"Idempotency-Key", call.key},
                         {"X-Program", call.program}},
                        call.body},
                       options);
  } catch (const HttpFailure& e) {
    throw BackendFailure(e.what(),
                         e.sent() ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
  // A server answers 503 only if it refuses a call before it starts any work.
  // After any other 5xx status the call may have run.
  if (reply.status == 503) {
    throw BackendFailure("server refused the call with status 503",
                         Verdict::kNotRun);
  }
  if (reply.status >= 500) {
    throw BackendFailure(
        "server answered with status " + std::to_string(reply.status),
        Verdict::kMayHaveRun);
  }
  return {reply.status, reply.body};
}

}  // namespace comfreyfold
