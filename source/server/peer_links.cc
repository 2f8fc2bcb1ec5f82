#include "server/peer_links.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "core/start_delay.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kMembersInterval{2000};
constexpr std::chrono::milliseconds kMembersIntervalOfLargeFleet{30000};
// While the service is out, every daemon asks it so often at the least.
constexpr std::chrono::milliseconds kFirstRegisterRetry{500};
constexpr std::chrono::milliseconds kMostRegisterRetry{4000};
// Intervals of heartbeats that an exchange may take. One that decides about
// a lane may take longer: a lane taken from a slow owner fails its calls.
constexpr int kExchangeIntervals = 2;
constexpr int kOwnerCheckIntervals = 3;
constexpr std::chrono::milliseconds kTurnStep{1000};
}  // namespace

PeerLinks::PeerLinks(Loop& loop,
                     HttpClient& http,
                     KvClient& kv,
                     EventLog& log,
                     Membership& membership,
                     const PeerLinkOptions& options)
    : loop_(loop),
      http_(http),
      kv_(kv),
      log_(log),
      membership_(membership),
      options_(options),
      ring_(Hash64(membership.self().daemon)),
      turn_set_(loop) {}

void PeerLinks::Start(std::function<void()> on_round) {
  on_round_ = std::move(on_round);
  loop_.Spawn([this](Fiber& fiber) { Register(fiber); });
  loop_.Spawn([this](Fiber& fiber) { FollowMembers(fiber); });
  loop_.Spawn([this](Fiber& fiber) { Beat(fiber); });
}

void PeerLinks::Register(Fiber& fiber) {
  auto& lease = member_lease_;
  turn_set_.WaitUntil(fiber, kTurnStep, [this] { return turn_.has_value(); });
  if (registered_) {
    // The entry of the run before stands; nobody misses the new one yet.
    AwaitTurn(fiber);
  }
  auto retry = kFirstRegisterRetry;
  while (!left_) {
    auto pause = std::chrono::milliseconds(options_.lease) / 3;
    try {
      if (lease == 0 || !kv_.KeepAlive(fiber, lease)) {
        lease = kv_.GrantLease(fiber, options_.lease);
        KvTxn txn;
        txn.puts.push_back({kMemberPrefix + membership_.self().daemon,
                            membership_.self().address, lease});
        kv_.Commit(fiber, txn);
      }
      retry = kFirstRegisterRetry;
    } catch (const KvUnavailable&) {
      pause = retry;
      retry = std::min(retry * 2, kMostRegisterRetry);
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

void PeerLinks::SetTurn(std::chrono::milliseconds delay) {
  if (!turn_) {
    turn_ = std::chrono::steady_clock::now() + delay;
    turn_set_.NotifyAll();
  }
}

void PeerLinks::AwaitTurn(Fiber& fiber) {
  while (!turn_) {
    turn_set_.Wait(fiber, kTurnStep);
  }
  const auto left = *turn_ - std::chrono::steady_clock::now();
  if (left.count() > 0) {
    fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(left));
  }
}

void PeerLinks::ReadMembers(Fiber& fiber) {
  const auto& self = membership_.self();
  std::set<std::string> addresses;
  const auto members = kv_.Prefix(fiber, kMemberPrefix);
  for (const auto& it : members.items) {
    if (it.value != self.address) {
      addresses.insert(it.value);
    } else {
      registered_ = it.key == kMemberPrefix + self.daemon;
    }
  }
  addresses_ = std::move(addresses);
  if (!listed_) {
    listed_ = true;
    listed_at_ = std::chrono::steady_clock::now();
    SetTurn(StartDelay(members.items.size(), Hash64(self.daemon)));
  }
}

void PeerLinks::FollowMembers(Fiber& fiber) {
  while (true) {
    try {
      ReadMembers(fiber);
    } catch (const KvUnavailable&) {
      // The last list stands; peers that live keep answering heartbeats.
      SetTurn({});
    }
    // In a large fleet the members tell each other of newcomers; the list
    // only joins parts that have lost each other.
    const auto pause =
        membership_.samples() ? kMembersIntervalOfLargeFleet : kMembersInterval;
    fiber.Sleep(addresses_.empty() ? options_.interval : pause);
  }
}

void PeerLinks::Beat(Fiber& fiber) {
  while (true) {
    Announce();
    fiber.Sleep(options_.interval);
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
  const auto peers = addresses.size();
  const auto every = static_cast<std::size_t>(options_.every_peer_up_to);
  const auto probes = static_cast<std::size_t>(options_.probes);
  if (peers <= every) {
    membership_.set_probe_round({});
    StartExchanges({addresses.begin(), addresses.end()});
    return;
  }
  // The ring visits each peer at least once in two passes.
  constexpr int kPasses = 2;
  membership_.set_probe_round(options_.interval * kPasses *
                              static_cast<int>(peers / probes + 1));
  StartExchanges(ring_.Next(addresses, probes));
}

void PeerLinks::StartExchanges(const std::vector<std::string>& addresses) {
  for (const auto& it : addresses) {
    // A peer that does not answer is not asked twice at the same time.
    if (busy_.insert(it).second) {
      loop_.Spawn([this, it](Fiber& child) { Probe(child, it); });
    }
  }
}

std::string PeerLinks::DaemonAt(const std::string& address) const {
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    if (heartbeat.address == address) {
      return daemon;
    }
  }
  return {};
}

void PeerLinks::Probe(Fiber& fiber, const std::string& address) {
  // Twice in a large fleet, where one failure is enough to be called dead.
  const auto timeout = options_.interval * kExchangeIntervals;
  const bool reached =
      Exchange(fiber, address, timeout) ||
      (membership_.samples() && Exchange(fiber, address, timeout));
  busy_.erase(address);
  const auto daemon = DaemonAt(address);
  if (!reached && membership_.samples() && !daemon.empty()) {
    Accuse(daemon);
  }
}

void PeerLinks::Accuse(const std::string& daemon) {
  const auto now = std::chrono::steady_clock::now();
  if (!membership_.IsLive(daemon, now)) {
    return;
  }
  const auto lanes = membership_.peers().at(daemon).lanes;
  membership_.Suspect(daemon);
  log_.Write({.name = "peer_unreachable", .peer = daemon});
  // Those that should take its lanes are told at once; the rest hear of it
  // as news.
  std::set<std::string> successors;
  for (const auto& it : lanes) {
    const auto successor = membership_.PreferredOwner(it.lane, now);
    const auto known = membership_.peers().find(successor);
    if (known != membership_.peers().end()) {
      successors.insert(known->second.address);
    }
  }
  StartExchanges({successors.begin(), successors.end()});
}

std::string PeerLinks::AddressOf(Fiber& fiber, const std::string& daemon) {
  const auto known = membership_.peers().find(daemon);
  if (known != membership_.peers().end()) {
    return known->second.address;
  }
  const auto listed = kv_.Get(fiber, kMemberPrefix + daemon);
  return listed ? listed->value : std::string();
}

bool PeerLinks::StillOwns(Fiber& fiber,
                          const std::string& daemon,
                          const OwnedLane& lane) {
  const auto address = AddressOf(fiber, daemon);
  if (address.empty() ||
      !Exchange(fiber, address, options_.interval * kOwnerCheckIntervals)) {
    return false;
  }
  // Another daemon may have its address by now.
  const auto known = membership_.peers().find(daemon);
  if (known == membership_.peers().end() || DaemonAt(address) != daemon) {
    return false;
  }
  const auto& lanes = known->second.lanes;
  return std::find(lanes.begin(), lanes.end(), lane) != lanes.end();
}

bool PeerLinks::Exchange(Fiber& fiber,
                         const std::string& address,
                         std::chrono::milliseconds timeout) {
  const auto message = membership_.Compose(DaemonAt(address), log_.Stamp());
  HttpOptions options;
  options.connect_timeout = timeout;
  options.idle_timeout = timeout;
  try {
    const auto reply = http_.Send(fiber, address,
                                  {"POST",
                                   kHeartbeatPath,
                                   {{"Content-Type", kThriftType}},
                                   Encode(message)},
                                  options);
    if (reply.status == 200) {
      const auto answer = DecodeMemberMessage(reply.body);
      log_.ReceiveStamp(answer.sender.clock);
      membership_.Take(answer, std::chrono::steady_clock::now());
      return true;
    }
  } catch (const std::runtime_error&) {
    // Silence is what the timeout of the membership is for.
  }
  return false;
}

}  // namespace comfreyfold
