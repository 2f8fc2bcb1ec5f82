#include "tool/daemon_finder.h"

#include <stdexcept>

#include "clients/kv_client.h"
#include "net/json_parser.h"

namespace comfreyfold {

namespace {

constexpr std::string_view kMemberPrefix = "members/";
constexpr std::chrono::seconds kKvTimeout{2};
constexpr std::chrono::milliseconds kDaemonTimeout{1000};

}  // namespace

std::vector<DaemonAddress> FindDaemons(CommandContext& context,
                                       HttpClient& http) {
  std::vector<DaemonAddress> out;
  for (const auto& it : context.daemon_addresses) {
    if (!it.empty()) {
      out.push_back({{}, it});
    }
  }
  if (out.empty() && !context.key_value_address.empty()) {
    KvClient kv(http, context.key_value_address, kKvTimeout);
    const auto range = kv.Prefix(context.fiber, std::string(kMemberPrefix));
    for (const auto& it : range.items) {
      out.push_back({it.key.substr(kMemberPrefix.size()), it.value});
    }
  }
  if (out.empty()) {
    throw std::runtime_error(
        "no daemons found: give their addresses with --daemons, or with --kv "
        "the address of a key-value service that lists members");
  }
  return out;
}

std::optional<nlohmann::json> QueryDaemon(Fiber& fiber,
                                          HttpClient& http,
                                          const std::string& address,
                                          const std::string& target) {
  HttpOptions options;
  options.connect_timeout = kDaemonTimeout;
  options.idle_timeout = kDaemonTimeout;
  try {
    const auto reply =
        http.Send(fiber, address, {"GET", target, {}, {}}, options);
    auto body = ParseJson(reply.body);
    if (reply.status == 200 && !body.is_discarded()) {
      return body;
    }
  } catch (const HttpFailure&) {
    // The empty result reports the failure.
  }
  return std::nullopt;
}

}  // namespace comfreyfold
