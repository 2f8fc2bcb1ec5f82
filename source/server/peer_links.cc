#include "server/peer_links.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace comfreyfold {

namespace {
constexpr char kMemberPrefix[] = "members/";
constexpr std::chrono::milliseconds kMembersInterval{2000};
constexpr std::chrono::milliseconds kRegisterRetry{500};
}  // namespace

PeerLinks::PeerLinks(Loop& loop,
                     HttpClient& http,
                     KvClient& kv,
                     EventLog& log,
                     Membership& membership,
                     std::chrono::milliseconds interval,
                     std::chrono::seconds lease)
    : loop_(loop),
      http_(http),
      kv_(kv),
      log_(log),
      membership_(membership),
      interval_(interval),
      lease_(lease) {}

void PeerLinks::Start(std::function<void()> on_round) {
  on_round_ = std::move(on_round);
  loop_.Spawn([this](Fiber& fiber) { Register(fiber); });
  loop_.Spawn([this](Fiber& fiber) { FollowMembers(fiber); });
  loop_.Spawn([this](Fiber& fiber) { Beat(fiber); });
}

void PeerLinks::Register(Fiber& fiber) {
  auto& lease = member_lease_;
  while (!left_) {
    auto pause = std::chrono::milliseconds(lease_) / 3;
    try {
      if (lease == 0 || !kv_.KeepAlive(fiber, lease)) {
        lease = kv_.GrantLease(fiber, lease_);
        KvTxn txn;
        txn.puts.push_back({kMemberPrefix + membership_.self().daemon,
                            membership_.self().address, lease});
        kv_.Commit(fiber, txn);
      }
    } catch (const KvUnavailable&) {
      pause = kRegisterRetry;
    }
    fiber.Sleep(pause);
  }
}

bool PeerLinks::KnowsPeers(std::chrono::milliseconds patience) const {
  if (!listed_) {
    return false;
  }
  if (std::chrono::steady_clock::now() - listed_at_ > patience) {
    return true;
  }
  const auto& peers = membership_.peers();
  return std::all_of(
      addresses_.begin(), addresses_.end(), [&peers](const auto& address) {
        return std::any_of(peers.begin(), peers.end(), [&](const auto& it) {
          return it.second.address == address;
        });
      });
}

void PeerLinks::Leave(Fiber& fiber) {
  left_ = true;
  if (member_lease_ == 0) {
    return;
  }
  try {
    kv_.RevokeLease(fiber, member_lease_);
  } catch (const KvUnavailable&) {
    // It lapses by itself.
  }
}

void PeerLinks::FollowMembers(Fiber& fiber) {
  while (true) {
    try {
      std::set<std::string> addresses;
      for (const auto& it : kv_.Prefix(fiber, kMemberPrefix).items) {
        if (it.value != membership_.self().address) {
          addresses.insert(it.value);
        }
      }
      addresses_ = std::move(addresses);
      if (!listed_) {
        listed_ = true;
        listed_at_ = std::chrono::steady_clock::now();
      }
    } catch (const KvUnavailable&) {
      // The last list stands; peers that live keep answering heartbeats.
    }
    fiber.Sleep(addresses_.empty() ? interval_ : kMembersInterval);
  }
}

void PeerLinks::Beat(Fiber& fiber) {
  while (true) {
    Announce();
    fiber.Sleep(interval_);
    on_round_();
  }
}

void PeerLinks::Announce() {
  auto addresses = addresses_;
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    if (membership_.IsLive(daemon, std::chrono::steady_clock::now())) {
      addresses.insert(heartbeat.address);
    }
  }
  for (const auto& it : addresses) {
    // A peer that does not answer is not asked twice at the same time.
    if (busy_.insert(it).second) {
      loop_.Spawn([this, it](Fiber& child) { Exchange(child, it); });
    }
  }
}

void PeerLinks::Exchange(Fiber& fiber, const std::string& address) {
  auto self = membership_.self();
  self.clock = log_.Stamp();
  HttpOptions options;
  options.connect_timeout = interval_ * 2;
  options.idle_timeout = interval_ * 2;
  try {
    const auto reply =
        http_.Send(fiber, address,
                   {"POST",
                    "/peer/heartbeat",
                    {{"Content-Type", "application/vnd.apache.thrift.compact"}},
                    Encode(self)},
                   options);
    if (reply.status == 200) {
      const auto peer = DecodeHeartbeat(reply.body);
      log_.Receive(peer.clock);
      membership_.Observe(peer, std::chrono::steady_clock::now());
    }
  } catch (const std::runtime_error&) {
    // Silence is what the timeout of the membership is for.
  }
  busy_.erase(address);
}

}  // namespace comfreyfold
