// The part of ReplicaClient that sends through relays.

#include <algorithm>

#include "storage/replica_client.h"

namespace comfreyfold {

namespace {

// Relays tried for one request of a daemon that is cut off.
constexpr int kMaxRelayTries = 2;
// Covers two round trips and a fast disk's sync. A relay that takes longer is
// probably disconnected itself.
constexpr std::chrono::milliseconds kRelayTimeout{250};
// For this time after a failure a relay is not used.
constexpr std::chrono::milliseconds kRelayPause{1000};

}  // namespace

std::vector<std::string> ReplicaClient::UsableRelays() const {
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::string> out;
  if (!last_good_relay_.empty()) {
    out.push_back(last_good_relay_);
  }
  for (const auto& it : relays_ ? relays_() : std::vector<std::string>{}) {
    const auto failed = relay_failed_at_.find(it);
    if (it != last_good_relay_ && (failed == relay_failed_at_.end() ||
                                   now - failed->second > kRelayPause)) {
      out.push_back(it);
    }
  }
  return out;
}

// While this daemon reaches other members, attempts on other relays are limited
// by the hedge budget, because the storage daemon itself may be dead, in which
// case no relay helps. A daemon that is cut off tries few relays for a request
// and fails it at once when none is left, so that the client can turn to
// another daemon.
//
// A turn has run when it is stored, and no other daemon can store it. Its relay
// may wait for a slow disk, but leaves half of the time for another relay.
bool ReplicaClient::SendByRelay(Fiber& fiber,
                                const StorageMember& target,
                                const std::string& body,
                                bool stores_turns,
                                std::chrono::milliseconds timeout,
                                StorageReply& reply) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  int tries = 0;
  for (const auto& it : UsableRelays()) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
    const bool allowed =
        IsCutOff() ? tries < kMaxRelayTries
                   : it == last_good_relay_ || hedge_budget_.TrySpend();
    if (remaining.count() <= 0 || !allowed) {
      return false;
    }
    ++tries;
    ++counts_.relayed;
    const auto limit = std::min(
        remaining,
        stores_turns ? std::max(kRelayTimeout, remaining / 2) : kRelayTimeout);
    if (SendTo(fiber, it, target.disk, body, std::to_string(limit.count()),
               limit, reply) == SendResult::kAnswered) {
      last_good_relay_ = it;
      relay_failed_at_.erase(it);
      return true;
    }
    relay_failed_at_[it] = std::chrono::steady_clock::now();
    if (it == last_good_relay_) {
      last_good_relay_.clear();
    }
  }
  return false;
}

}  // namespace comfreyfold
