#include "front/server_end_monitor.h"

#include <utility>

namespace comfreyfold {

namespace {
// A refusal takes one round trip.
constexpr std::chrono::milliseconds kConnectTimeout{350};
}  // namespace

ServerEndMonitor::ServerEndMonitor(Loop& loop,
                                   HttpClient& http,
                                   DecisionLog& log)
    : loop_(loop), http_(http), log_(log) {}

void ServerEndMonitor::OnBrokenAnswer(const AcquiredSlot& slot,
                                      std::uint64_t fingerprint) {
  auto& fingerprints = broken_[slot.server_id];
  fingerprints.push_back(fingerprint);
  if (fingerprints.size() == 1) {
    loop_.Spawn([this, server_id = slot.server_id, address = slot.address](
                    Fiber& fiber) { Check(fiber, server_id, address); });
  }
}

void ServerEndMonitor::Check(Fiber& fiber,
                             const std::string& server_id,
                             const std::string& address) {
  const auto connected = http_.TryConnect(fiber, address, kConnectTimeout);
  const auto fingerprints = std::move(broken_.at(server_id));
  broken_.erase(server_id);
  if (connected == ConnectResult::kRefused) {
    log_.Write("server_ended", "",
               {{"server", server_id},
                {"address", address},
                {"broken_answers", static_cast<int>(fingerprints.size())}});
  }
}

}  // namespace comfreyfold
