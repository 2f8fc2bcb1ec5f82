#ifndef HARNESS_CALLER_H_
#define HARNESS_CALLER_H_

#include <functional>
#include <string>

#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace comfreyfold::harness {

struct CallAnswer {
  int status = 0;
  std::string body;         // Whole body, or the text put together of a stream.
  std::string verdict;      // Of the header.
  std::string retry_after;  // Of the header.
  nlohmann::json json() const {
    return nlohmann::json::parse(body, nullptr, false);
  }
};

// An agent program, as a caller of the system writes it.
class Caller {
 public:
  Caller(Fiber& fiber,
         HttpClient& http,
         std::string api_key,
         std::string program);

  // Streams a model turn; `on_text` sees each piece.
  CallAnswer SendTurn(
      const std::string& address,
      const std::string& key,
      const std::string& text,
      int max_tokens = 8,
      const std::function<void(std::string_view)>& on_text = {});
  // A tool call, or with `path` "services" or "urgent" one of those.
  CallAnswer CallTool(const std::string& address,
                      const std::string& key,
                      const std::string& tool,
                      const nlohmann::json& arguments,
                      const std::string& path = "tools");
  CallAnswer EndProgram(const std::string& address);
  CallAnswer GetHistory(const std::string& address);
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
