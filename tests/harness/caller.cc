#include "harness/caller.h"

namespace comfreyfold::harness {

using nlohmann::json;

namespace {
constexpr std::chrono::seconds kIdleTimeout{90};
constexpr char kModel[] = "quote-large";
}  // namespace

Caller::Caller(Fiber& fiber,
               HttpClient& http,
               std::string api_key,
               std::string program)
    : fiber_(&fiber),
      http_(http),
      api_key_(std::move(api_key)),
      program_(std::move(program)) {}

CallAnswer Caller::Send(const std::string& address,
                        const std::string& method,
                        const std::string& target,
                        const std::string& key,
                        const std::string& body,
                        const std::function<void(std::string_view)>& on_data) {
  HttpRequest request{method,
                      target,
                      {{"Authorization", "Bearer " + api_key_},
                       {"Content-Type", "application/json"},
                       {"Comfreyfold-Program", program_}},
                      body};
  if (!key.empty()) {
    request.headers.push_back({"Idempotency-Key", key});
  }
  HttpOptions options;
  options.idle_timeout = kIdleTimeout;
  options.on_data = on_data;
  const auto reply = http_.Send(*fiber_, address, request, options);
  return {reply.status, reply.body, reply.Header("Comfreyfold-Verdict"),
          reply.Header("Retry-After")};
}

CallAnswer Caller::SendTurn(
    const std::string& address,
    const std::string& key,
    const std::string& text,
    int max_tokens,
    const std::function<void(std::string_view)>& on_text) {
  const json body = {{"model", kModel},
                     {"messages", {{{"role", "user"}, {"content", text}}}},
                     {"max_tokens", max_tokens},
                     {"stream", true}};
  std::string buf;
  std::string text_received;
  bool done = false;
  json error;
  auto answer = Send(address, "POST", "/v1/chat/completions", key, body.dump(),
                     [&](std::string_view data) {
                       buf += data;
                       for (auto n = buf.find("\n\n"); n != std::string::npos;
                            n = buf.find("\n\n")) {
                         const auto event = buf.substr(6, n - 6);
                         buf.erase(0, n + 2);
                         if (event == "[DONE]") {
                           done = true;
                           continue;
                         }
                         const auto chunk = json::parse(event);
                         if (chunk.contains("error")) {
                           error = chunk;
                           continue;
                         }
                         const auto piece = chunk["choices"][0]["delta"].value(
                             "content", std::string());
                         text_received += piece;
                         if (on_text && !piece.empty()) {
                           on_text(piece);
                         }
                       }
                     });
  if (answer.status == 200) {
    answer.body = error.is_null() ? text_received : error.dump();
    if (!error.is_null()) {
      answer.status = 502;
      answer.verdict = error["error"]["verdict"];
    } else if (!done) {
      answer.status = 0;
    }
  }
  return answer;
}

CallAnswer Caller::CallTool(const std::string& address,
                            const std::string& key,
                            const std::string& tool,
                            const json& arguments,
                            const std::string& path) {
  return Send(address, "POST", "/v1/" + path + "/" + tool, key,
              arguments.dump());
}

CallAnswer Caller::EndProgram(const std::string& address) {
  return Send(address, "POST", "/v1/programs/" + program_ + "/end", {}, "{}");
}

CallAnswer Caller::GetHistory(const std::string& address) {
  return Send(address, "GET", "/v1/programs/" + program_ + "/history", {}, {});
}

CallAnswer Caller::GetAnswer(const std::string& address,
                             const std::string& key) {
  return Send(address, "GET", "/v1/programs/" + program_ + "/calls/" + key, {},
              {});
}

}  // namespace comfreyfold::harness
