#include "server/peer_links.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "core/start_delay.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kMemberListInterval{2000};
constexpr std::chrono::milliseconds kMemberListIntervalLargeFleet{30000};
// Bounds of the exponential back-off while the key-value service is
// unavailable.
constexpr std::chrono::milliseconds kMinRegisterRetryDelay{500};
constexpr std::chrono::milliseconds kMaxRegisterRetryDelay{4000};
// Time-outs in heartbeat intervals. The check whether a daemon still owns a
// lane gets more time, because taking a lane from a slow owner fails the calls
// in it.
constexpr int kExchangeTimeoutIntervals = 2;
constexpr int kOwnerCheckTimeoutIntervals = 3;
constexpr std::chrono::milliseconds kStartTimeCheckInterval{1000};
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
      probe_ring_(Hash64(membership.self().daemon)),
      start_time_set_(loop) {}

void PeerLinks::Start(std::function<void()> on_round) {
  on_round_ = std::move(on_round);
  loop_.Spawn([this](Fiber& fiber) { KeepRegistered(fiber); });
  loop_.Spawn([this](Fiber& fiber) { PollMemberList(fiber); });
  loop_.Spawn([this](Fiber& fiber) { RunHeartbeatRounds(fiber); });
}

void PeerLinks::KeepRegistered(Fiber& fiber) {
  auto& lease = member_lease_;
  start_time_set_.WaitUntil(fiber, kStartTimeCheckInterval,
                            [this] { return start_time_.has_value(); });
  if (listed_at_own_address_) {
    // The entry of this daemon's previous process is still on the list with the
    // same address, so renewing it is not urgent.
    AwaitStartTime(fiber);
  }
  auto retry = kMinRegisterRetryDelay;
  while (!removed_from_list_) {
    auto pause = std::chrono::milliseconds(options_.lease) / 3;
    try {
      if (lease == 0 || !kv_.KeepAlive(fiber, lease)) {
        lease = kv_.GrantLease(fiber, options_.lease);
        KvTxn txn;
        txn.puts.push_back({kMemberPrefix + membership_.self().daemon,
                            membership_.self().address, lease});
        kv_.Commit(fiber, txn);
      }
      retry = kMinRegisterRetryDelay;
    } catch (const KvUnavailable&) {
      pause = retry;
      retry = std::min(retry * 2, kMaxRegisterRetryDelay);
    }
    fiber.Sleep(pause);
  }
}

bool PeerLinks::HasHeardFromPeers(std::chrono::milliseconds timeout) const {
  if (!member_list_read_) {
    return false;
  }
  if (std::chrono::steady_clock::now() - member_list_read_at_ > timeout) {
    return true;
  }
  const auto& peers = membership_.peers();
  return std::all_of(listed_addresses_.begin(), listed_addresses_.end(),
                     [&peers](const auto& address) {
                       return std::any_of(peers.begin(), peers.end(),
                                          [&](const auto& it) {
                                            return it.second.address == address;
                                          });
                     });
}

void PeerLinks::Leave(Fiber& fiber) {
  removed_from_list_ = true;
  if (member_lease_ == 0) {
    return;
  }
  try {
    kv_.RevokeLease(fiber, member_lease_);
  } catch (const KvUnavailable&) {
    // The lease expires without the request.
  }
}

void PeerLinks::SetStartTime(std::chrono::milliseconds delay) {
  if (!start_time_) {
    start_time_ = std::chrono::steady_clock::now() + delay;
    start_time_set_.NotifyAll();
  }
}

void PeerLinks::AwaitStartTime(Fiber& fiber) {
  while (!start_time_) {
    start_time_set_.Wait(fiber, kStartTimeCheckInterval);
  }
  const auto left = *start_time_ - std::chrono::steady_clock::now();
  if (left.count() > 0) {
    fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(left));
  }
}

void PeerLinks::ReadMemberList(Fiber& fiber) {
  const auto& self = membership_.self();
  std::set<std::string> addresses;
  const auto members = kv_.Prefix(fiber, kMemberPrefix);
  for (const auto& it : members.items) {
    if (it.value != self.address) {
      addresses.insert(it.value);
    } else {
      listed_at_own_address_ = it.key == kMemberPrefix + self.daemon;
    }
  }
  listed_addresses_ = std::move(addresses);
  if (!member_list_read_) {
    member_list_read_ = true;
    member_list_read_at_ = std::chrono::steady_clock::now();
    SetStartTime(StartDelay(members.items.size(), Hash64(self.daemon)));
  }
}

void PeerLinks::PollMemberList(Fiber& fiber) {
  while (true) {
    try {
      ReadMemberList(fiber);
    } catch (const KvUnavailable&) {
      // The addresses read last stay in use; live peers keep answering
      // heartbeats at them.
      SetStartTime({});
    }
    // In a large fleet heartbeats spread the news of new members. There the
    // list serves only to reconnect groups of daemons that have lost contact.
    const auto pause = membership_.probes_sample()
                           ? kMemberListIntervalLargeFleet
                           : kMemberListInterval;
    fiber.Sleep(listed_addresses_.empty() ? options_.interval : pause);
  }
}

void PeerLinks::RunHeartbeatRounds(Fiber& fiber) {
  while (true) {
    SendHeartbeats();
    fiber.Sleep(options_.interval);
    on_round_();
  }
}

void PeerLinks::SendHeartbeats() {
  auto addresses = listed_addresses_;
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    if (membership_.IsLive(daemon, std::chrono::steady_clock::now())) {
      addresses.insert(heartbeat.address);
    }
  }
  const auto peers = addresses.size();
  const auto every = static_cast<std::size_t>(options_.every_peer_up_to);
  const auto probes = static_cast<std::size_t>(options_.probes);
  if (peers <= every) {
    membership_.set_probe_cycle({});
    StartProbes({addresses.begin(), addresses.end()});
    return;
  }
  // Within two passes of the ring every peer is probed at least once.
  constexpr int kPassesPerCycle = 2;
  membership_.set_probe_cycle(options_.interval * kPassesPerCycle *
                              static_cast<int>(peers / probes + 1));
  StartProbes(probe_ring_.Next(addresses, probes));
}

void PeerLinks::StartProbes(const std::vector<std::string>& addresses) {
  for (const auto& it : addresses) {
    // At most one probe per peer is in flight.
    if (probes_in_flight_.insert(it).second) {
      loop_.Spawn([this, it](Fiber& child) { ProbePeer(child, it); });
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

void PeerLinks::ProbePeer(Fiber& fiber, const std::string& address) {
  // In a large fleet a single failed probe makes a peer suspected, so the probe
  // includes a second attempt.
  const auto timeout = options_.interval * kExchangeTimeoutIntervals;
  const bool reached = ExchangeHeartbeat(fiber, address, timeout) ||
                       (membership_.probes_sample() &&
                        ExchangeHeartbeat(fiber, address, timeout));
  probes_in_flight_.erase(address);
  const auto daemon = DaemonAt(address);
  if (!reached && membership_.probes_sample() && !daemon.empty()) {
    MarkUnreachable(daemon);
  }
}

void PeerLinks::MarkUnreachable(const std::string& daemon) {
  const auto now = std::chrono::steady_clock::now();
  if (!membership_.IsLive(daemon, now)) {
    return;
  }
  const auto lanes = membership_.peers().at(daemon).lanes;
  membership_.Suspect(daemon);
  log_.Write({.name = "peer_unreachable", .peer = daemon});
  // The daemons that should take over its lanes are told at once. The others
  // learn of it from later heartbeats.
  std::set<std::string> successors;
  for (const auto& it : lanes) {
    const auto successor = membership_.PreferredOwner(it.lane, now);
    const auto known = membership_.peers().find(successor);
    if (known != membership_.peers().end()) {
      successors.insert(known->second.address);
    }
  }
  StartProbes({successors.begin(), successors.end()});
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
      !ExchangeHeartbeat(fiber, address,
                         options_.interval * kOwnerCheckTimeoutIntervals)) {
    return false;
  }
  // The address may belong to another daemon by now.
  const auto known = membership_.peers().find(daemon);
  if (known == membership_.peers().end() || DaemonAt(address) != daemon) {
    return false;
  }
  const auto& lanes = known->second.lanes;
  return std::find(lanes.begin(), lanes.end(), lane) != lanes.end();
}

bool PeerLinks::ExchangeHeartbeat(Fiber& fiber,
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
      membership_.Receive(answer, std::chrono::steady_clock::now());
      return true;
    }
  } catch (const std::runtime_error&) {
    // The membership's heartbeat timeout deals with peers that don't answer.
  }
  return false;
}

}  // namespace comfreyfold
