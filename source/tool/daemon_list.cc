#include "tool/daemon_list.h"

#include <stdexcept>

#include "platform/kv_client.h"

namespace comfreyfold {

namespace {
constexpr char kMemberPrefix[] = "members/";
constexpr std::chrono::seconds kKvTimeout{2};
}  // namespace

std::vector<std::string> DaemonAddresses(CommandContext& context,
                                         HttpClient& http) {
  std::vector<std::string> out;
  for (const auto& it : context.daemons) {
    if (!it.empty()) {
      out.push_back(it);
    }
  }
  if (!out.empty()) {
    return out;
  }
  if (context.key_value.empty()) {
    throw std::runtime_error(
        "no daemon is named; give --daemons, or --kv to find them");
  }
  KvClient kv(http, context.key_value, kKvTimeout);
  for (const auto& it : kv.Prefix(context.fiber, kMemberPrefix).items) {
    out.push_back(it.value);
  }
  return out;
}

}  // namespace comfreyfold
