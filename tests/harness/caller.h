#ifndef HARNESS_CALLER_H_
#define HARNESS_CALLER_H_

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace comfreyfold::harness {

struct CallAnswer {
  int status = 0;
  // The response body; for a stream, its text pieces joined, or the error
  // event that ended it.
  std::string body;
  std::string verdict;      // Value of the Comfreyfold-Verdict header.
  std::string retry_after;  // Value of the Retry-After header.
  nlohmann::json json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
};

// Client of the daemons' HTTP API that sends the calls of one agent program.
class Caller {
 public:
  Caller(Fiber& fiber,
         HttpClient& http,
         std::string api_key,
         std::string program);

  // Sends a model turn and reads its answer as a stream; `on_text` is called
  // with each text piece. The status of the result is 502 when the stream
  // ended with an error event, and 0 when it ended without "[DONE]".
  CallAnswer SendTurn(
      const std::string& address,
      const std::string& key,
      const std::string& text,
      int max_tokens = 8,
      const std::function<void(std::string_view)>& on_text = {});
  // Sends a tool call; with `path` "services" or "urgent", a call to a plain
  // service or an urgent message.
  CallAnswer CallTool(const std::string& address,
                      const std::string& key,
                      const std::string& tool,
                      const nlohmann::json& arguments,
                      const std::string& path = "tools");
  CallAnswer EndProgram(const std::string& address);
  CallAnswer GetHistory(const std::string& address);
  // Reads the recorded answer of the call with the idempotency key `key`.
  CallAnswer GetAnswer(const std::string& address, const std::string& key);

  void set_fiber(Fiber& fiber) { fiber_ = &fiber; }

 private:
  CallAnswer Send(const std::string& address,
                  const std::string& method,
                  const std::string& target,
                  const std::string& key,
                  const std::string& body,
                  const std::function<void(std::string_view)>& on_data = {});

  Fiber* fiber_;
  HttpClient& http_;
  std::string api_key_;
  std::string program_;
};

}  // namespace comfreyfold::harness

#endif  // HARNESS_CALLER_H_
