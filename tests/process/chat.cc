#include "process/chat.h"

#include <charconv>

#include "clients/base64.h"

namespace comfreyfold::process {

using nlohmann::json;

ChatReply Chat(Fiber& fiber,
               harness::Cluster& cluster,
               int index,
               const ChatTurn& turn) {
  const json body = {{"model", turn.model},
                     {"messages", {{{"role", "user"}, {"content", turn.text}}}},
                     {"max_tokens", turn.max_tokens}};
  HttpRequest request{"POST",
                      "/v1/chat/completions",
                      {{"Authorization", "Bearer " + turn.api_key},
                       {"Comfreyfold-Program", turn.program},
                       {"Idempotency-Key", turn.key}},
                      body.dump()};
  if (!turn.parent.empty()) {
    request.headers.push_back({"Comfreyfold-Parent", turn.parent});
  }
  HttpOptions options;
  options.idle_timeout = std::chrono::seconds(90);
  // Copied: the daemon may be started anew meanwhile.
  const std::string address = cluster.daemon(index).address();
  ChatReply out;
  try {
    const auto reply = cluster.http().Send(fiber, address, request, options);
    out.status = reply.status;
    out.verdict = reply.Header("Comfreyfold-Verdict");
    const auto retry = reply.Header("Retry-After");
    std::from_chars(retry.data(), retry.data() + retry.size(), out.retry_after);
    const auto answer = json::parse(reply.body, nullptr, false);
    if (answer.is_object() && answer.contains("error")) {
      out.code = answer["error"].value("code", "");
      out.message = answer["error"].value("message", "");
    }
  } catch (const HttpFailure&) {
    out.status = 0;
  }
  return out;
}

std::int64_t TokensAtEngines(harness::Cluster& cluster,
                             const std::string& customer) {
  std::int64_t out = 0;
  for (int i = 0; i < cluster.engines(); ++i) {
    const auto audit = cluster.Audit(cluster.engine(i));
    for (const auto& it : audit["runs"]) {
      if (it["program"].get<std::string>().rfind(customer + "/", 0) == 0) {
        out += it["prompt_tokens"].get<std::int64_t>() +
               it["completion_tokens"].get<std::int64_t>();
      }
    }
  }
  return out;
}

std::string ContractWith(const std::string& budget,
                         const std::string& program) {
  return "[customer]\nname = bandwerk\napi_key_sha256 = " +
         Sha256Hex(harness::kQuoteKey) + "\n[budget]\n" + budget +
         "\n[program]\n" + program + "\n[share]\nconcurrency = 24\n";
}

}  // namespace comfreyfold::process
