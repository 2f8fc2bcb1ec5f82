#include "tool/confirmation.h"

#include <algorithm>

namespace comfreyfold {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{20};

// Updates `out` from the status of its daemon.
void QueryRevision(CommandContext& context,
                   HttpClient& http,
                   Confirmation& out) {
  const auto status =
      QueryDaemon(context.fiber, http, out.daemon.address, "/operator/status");
  out.answered = status.has_value();
  if (status) {
    out.daemon.daemon = status->value("daemon", out.daemon.daemon);
    out.revision = status->value("contracts_revision", std::int64_t{0});
  }
}

}  // namespace

std::vector<Confirmation> AwaitRevision(
    CommandContext& context,
    HttpClient& http,
    const std::vector<DaemonAddress>& daemons,
    std::int64_t revision) {
  const auto start = steady_clock::now();
  std::vector<Confirmation> out;
  out.reserve(daemons.size());
  for (const auto& it : daemons) {
    out.push_back({it});
  }
  while (true) {
    bool all = true;
    for (auto& it : out) {
      if (it.Confirms(revision)) {
        continue;
      }
      QueryRevision(context, http, it);
      it.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
          steady_clock::now() - start);
      all = all && it.Confirms(revision);
    }
    if (all || steady_clock::now() - start >= context.confirm_timeout) {
      return out;
    }
    context.fiber.Sleep(kPollInterval);
  }
}

}  // namespace comfreyfold
