#include "storage/replica_client.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// If the targets called so far have not satisfied the call within this time,
// the next target is called as well. Covers several disk syncs and round trips
// between data centres.
constexpr std::chrono::milliseconds kHedgeDelay{40};
constexpr std::chrono::milliseconds kConnectTimeout{300};
// A target that has not answered by then is avoided by further calls. Another
// target is then called from the reserve of the hedge budget: a call must not
// wait for a disk that has just died until its timeout.
constexpr std::chrono::milliseconds kOverdueTime{200};
// Further targets per target called so far, when all of these have answered and
// it is not enough: one, then four more, then all.
constexpr std::size_t kWidenFactor = 4;
// Members that have to fail before this daemon counts as cut off. One may be
// dead.
constexpr int kFailuresWhenCutOff = 2;
// Targets that do not answer a request that needs the disk are probed after
// this time, again after the interval, and are unreachable if no answer comes.
// A frozen or disconnected one is known about as soon as kOverdueTime. One that
// answers late for lack of processor time is given longer, and probed as many
// times less often.
constexpr std::chrono::milliseconds kProbeDelay{100};
constexpr std::chrono::milliseconds kProbeInterval{300};
constexpr std::chrono::milliseconds kProbeTimeout{150};
constexpr std::chrono::milliseconds kMaxProbeTimeout{1000};
constexpr int kTimeoutsPerProbe = 2;
// Sends of a request to one target. A daemon that is short of processor time
// may fail and regain often.
constexpr int kMaxSends = 2;
// For this time after a failure a replica is sorted behind the others, and for
// this time after a probe it is not probed again.
constexpr std::chrono::milliseconds kSuspicionTime{1000};

// Whether the answer may count for the call: not that of another disk than the
// target's, nor of one that could not do what was asked.
bool IsUsable(const StorageReply& reply) {
  return reply.status != StorageStatus::kOtherDisk &&
         reply.status != StorageStatus::kFailed;
}

// Whether the answer has to wait for the disk, which may take long although the
// daemon can be reached.
bool NeedsDisk(const StorageRequest& request) {
  return request.operation == StorageOperation::kStore || request.members;
}

}  // namespace

// State of one Call(), shared with the coroutines that send to its targets.
struct ReplicaClient::MultiCall {
  MultiCall(Loop& loop, Plan call_plan, const StorageRequest& request)
      : plan(std::move(call_plan)),
        body(Encode(request)),
        needs_disk(NeedsDisk(request)),
        stores_turns(request.operation == StorageOperation::kStore &&
                     !request.turns.empty()),
        changed(loop) {}

  Plan plan;
  std::string body;
  bool needs_disk;
  bool stores_turns;
  Condition changed;
  StorageReplies replies;
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t unusable = 0;  // Ended without an answer that counts.
  struct Target {
    TimePoint started_at{};  // Of the last send.
    int sends = 0;
    bool ended = false;        // Has answered or failed.
    bool suspected = false;    // Is overdue.
    bool unreachable = false;  // Has been reported to be.
  };
  std::vector<Target> states;  // Of the started targets.
};

ReplicaClient::ReplicaClient(Loop& loop,
                             HttpClient& http,
                             std::string data_centre)
    : loop_(loop), http_(http), data_centre_(std::move(data_centre)) {}

bool ReplicaClient::IsSuspected(const StorageMember& member,
                                TimePoint now) const {
  const auto failure = last_failures_.find(member.address);
  const auto slow = slow_at_.find(member.address);
  return (failure != last_failures_.end() &&
          now - failure->second.at < kSuspicionTime) ||
         (slow != slow_at_.end() && now - slow->second < kSuspicionTime);
}

// Its disk may have moved to another address.
bool ReplicaClient::IsReplaced(const StorageMember& member) const {
  return replaced_.count({member.disk, member.address}) > 0;
}

bool ReplicaClient::NeedsRelay(const StorageMember& member) const {
  const auto it = last_failures_.find(member.address);
  return relays_ && it != last_failures_.end() &&
         (it->second.result == SendResult::kNoConnection || IsCutOff());
}

bool ReplicaClient::IsCutOff() const {
  return std::count_if(last_failures_.begin(), last_failures_.end(),
                       [this](const auto& it) {
                         return it.second.at > answered_at_;
                       }) >= kFailuresWhenCutOff;
}

void ReplicaClient::RecordResult(const StorageMember& member,
                                 SendResult result) {
  const bool answered =
      result == SendResult::kAnswered || result == SendResult::kBusy;
  const bool was_unreachable = last_failures_.count(member.address) > 0;
  if (answered) {
    last_failures_.erase(member.address);
    answered_at_ = std::chrono::steady_clock::now();
    if (was_unreachable) {
      regained_at_[member.address] = answered_at_;
    }
  } else {
    last_failures_[member.address] = {std::chrono::steady_clock::now(), result};
    // The connections in the pool may be dead although a new one works.
    http_.CloseIdle(member.address);
  }
  if (on_reachability_change_ && was_unreachable == answered) {
    on_reachability_change_(member, answered);
  }
}

std::vector<StorageMember> ReplicaClient::SortByPreference(
    std::vector<StorageMember> members) const {
  // A rank that changed during the sort would break the order that it needs.
  const auto rank =
      [this, now = std::chrono::steady_clock::now()](const StorageMember& it) {
        return std::tuple(IsReplaced(it), IsSuspected(it, now),
                          it.data_centre != data_centre_);
      };
  std::stable_sort(
      members.begin(), members.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return members;
}

std::vector<StorageMember> ReplicaClient::SpreadOverDataCentres(
    std::vector<StorageMember> members) const {
  members = SortByPreference(std::move(members));
  const auto now = std::chrono::steady_clock::now();
  std::map<std::string, int> seen;  // Members before, by data centre.
  std::vector<std::pair<std::tuple<bool, bool, int>, StorageMember>> ranked;
  ranked.reserve(members.size());
  for (const auto& it : members) {
    const auto turn = seen[it.data_centre]++;
    ranked.push_back({{IsReplaced(it), IsSuspected(it, now), turn}, it});
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  members.clear();
  for (auto& it : ranked) {
    members.push_back(std::move(it.second));
  }
  return members;
}

bool ReplicaClient::CallOne(Fiber& fiber,
                            const StorageMember& target,
                            const StorageRequest& request,
                            std::chrono::milliseconds timeout,
                            StorageReply& reply) {
  Plan plan;
  plan.targets = {target};
  plan.timeout = timeout;
  auto replies = Call(fiber, plan, request,
                      [](const StorageReplies& it) { return !it.empty(); });
  if (replies.empty()) {
    return false;
  }
  reply = std::move(replies.begin()->second);
  return true;
}

ReplicaClient::SendResult ReplicaClient::SendTo(
    Fiber& fiber,
    const std::string& address,
    const std::string& disk,
    const std::string& body,
    const std::string& relay_time,
    std::chrono::milliseconds timeout,
    StorageReply& reply) {
  HttpOptions options;
  options.connect_timeout = std::min(kConnectTimeout, timeout);
  options.idle_timeout = timeout;
  options.total_timeout = timeout;
  options.body = &body;
  HttpRequest request{"POST", kStoragePath + disk, {}, ""};
  if (!relay_time.empty()) {
    request.headers.push_back({kRelayHeader, relay_time});
  }
  try {
    const auto http_reply = http_.Send(fiber, address, request, options);
    // A relay sends it if it does not reach the target.
    if (http_reply.status == kUnavailable && relay_time.empty()) {
      return SendResult::kBusy;
    }
    if (http_reply.status != kOk) {
      return SendResult::kNoAnswer;
    }
    reply = DecodeStorageReply(http_reply.body);
    return SendResult::kAnswered;
  } catch (const HttpFailure& e) {
    // The caller records the result and reports a change of reachability.
    return e.sent() ? SendResult::kNoAnswer : SendResult::kNoConnection;
  } catch (const WireError&) {
    return SendResult::kNoAnswer;
  }
}

void ReplicaClient::Probe(const StorageMember& member,
                          std::chrono::milliseconds interval,
                          std::chrono::milliseconds timeout) {
  const auto now = std::chrono::steady_clock::now();
  auto& probed_at = probed_at_[member.address];
  if (now - probed_at < interval) {
    return;
  }
  probed_at = now;
  ++counts_.probes;
  // After a failure the probe opens a connection first.
  const auto limit = last_failures_.count(member.address) > 0
                         ? std::max(timeout, kConnectTimeout)
                         : timeout;
  loop_.Spawn([this, member, limit, now](Fiber& fiber) {
    StorageRequest probe_request;
    probe_request.operation = StorageOperation::kAdopt;
    StorageReply reply;
    const auto result = SendTo(fiber, member.address, member.disk,
                               Encode(probe_request), {}, limit, reply);
    auto& time = AnswerTime(member.address);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - now);
    if (result == SendResult::kAnswered) {
      time.OnAnswer(took);
    } else if (result == SendResult::kNoAnswer && took >= time.Get()) {
      time.OnMiss();
    }
    RecordResult(member, result);
    if (result == SendResult::kAnswered) {
      ObserveDisk(member, reply);
    }
  });
}

void ReplicaClient::ObserveDisk(const StorageMember& member,
                                const StorageReply& reply) {
  if (reply.status == StorageStatus::kOtherDisk) {
    replaced_.insert({member.disk, member.address});
  } else {
    replaced_.erase({member.disk, member.address});
  }
  if (on_reply_) {
    on_reply_(member, reply);
  }
}

AdaptiveTimeout& ReplicaClient::AnswerTime(const std::string& address) {
  return answer_times_.try_emplace(address, kProbeTimeout, kMaxProbeTimeout)
      .first->second;
}

void ReplicaClient::ProbeLate(const StorageMember& member) {
  const auto timeout = AnswerTime(member.address).Get();
  Probe(member, std::max(kProbeInterval, kTimeoutsPerProbe * timeout), timeout);
}

void ReplicaClient::ProbeWaiting(const MultiCall& call) {
  for (std::size_t n = 0; n < call.states.size(); ++n) {
    if (!call.states[n].ended) {
      ProbeLate(call.plan.targets[n]);
    }
  }
}

// A daemon that took too long to store may be waiting for its disk. Taking it
// for unreachable would take this daemon for cut off when two disks are slow,
// and make it refuse even requests that need no disk.
void ReplicaClient::RecordSent(const MultiCall& call,
                               std::size_t n,
                               TimePoint sent_at,
                               SendResult result,
                               const StorageReply& reply) {
  const auto& target = call.plan.targets[n];
  const auto now = std::chrono::steady_clock::now();
  const bool timed_out =
      result == SendResult::kNoAnswer && now - sent_at >= call.plan.timeout;
  if (call.needs_disk && timed_out) {
    slow_at_[target.address] = now;
    ProbeLate(target);
    return;
  }
  if (result == SendResult::kAnswered && !call.states[n].suspected) {
    if (call.needs_disk) {
      // A refusal tells nothing about the speed of the disk.
      if (IsUsable(reply)) {
        slow_at_.erase(target.address);
      }
    } else {
      AnswerTime(target.address)
          .OnAnswer(std::chrono::duration_cast<std::chrono::milliseconds>(
              now - sent_at));
    }
  }
  if (result == SendResult::kBusy) {
    slow_at_[target.address] = now;
  }
  RecordResult(target, result);
}

// Relays are used only if no connection was established. A daemon with an
// overloaded CPU would become slower still if it received requests twice.
void ReplicaClient::StartSend(const std::shared_ptr<MultiCall>& call,
                              std::size_t n) {
  ++call->started;
  call->states.push_back({});
  Send(call, n);
}

void ReplicaClient::Send(const std::shared_ptr<MultiCall>& call,
                         std::size_t n) {
  call->states[n].started_at = std::chrono::steady_clock::now();
  const auto send = ++call->states[n].sends;
  loop_.Spawn([this, call, n, send](Fiber& fiber) {
    const auto& target = call->plan.targets[n];
    const auto sent_at = std::chrono::steady_clock::now();
    StorageReply reply;
    bool answered = false;
    if (NeedsRelay(target)) {
      Probe(target, kSuspicionTime, kConnectTimeout);
    } else {
      const auto result = SendTo(fiber, target.address, target.disk, call->body,
                                 {}, call->plan.timeout, reply);
      RecordSent(*call, n, sent_at, result, reply);
      answered = result == SendResult::kAnswered;
    }
    answered =
        answered || (NeedsRelay(target) &&
                     SendByRelay(fiber, target, call->body, call->stores_turns,
                                 call->plan.timeout, reply));
    if (answered) {
      ObserveDisk(target, reply);
    }
    const bool usable = answered && IsUsable(reply);
    // The answer to an earlier send counts even if a later one has failed.
    if (answered && call->replies.count(target.disk) == 0) {
      call->replies[target.disk] = std::move(reply);
      call->changed.NotifyAll();
    }
    auto& state = call->states[n];
    if (state.ended || (!answered && state.sends != send)) {
      return;
    }
    ++call->ended;
    call->unusable += usable ? 0 : 1;
    counts_.failed += answered ? 0 : 1;
    state.ended = true;
    call->changed.NotifyAll();
  });
}

void ReplicaClient::SendToRegained(const std::shared_ptr<MultiCall>& call) {
  for (std::size_t n = 0; n < call->states.size(); ++n) {
    const auto& state = call->states[n];
    const auto it = regained_at_.find(call->plan.targets[n].address);
    if (!state.ended && state.sends < kMaxSends && it != regained_at_.end() &&
        it->second > state.started_at &&
        (call->stores_turns ? hedge_budget_.TrySpendReserve()
                            : hedge_budget_.TrySpend())) {
      ++counts_.resent;
      Send(call, n);
    }
  }
}

int ReplicaClient::StartNext(const std::shared_ptr<MultiCall>& call,
                             std::size_t n) {
  int started = 0;
  for (; n > 0 && call->started < call->plan.targets.size(); --n) {
    StartSend(call, call->started);
    ++started;
  }
  return started;
}

void ReplicaClient::SuspectOverdue(MultiCall& call) {
  const auto now = std::chrono::steady_clock::now();
  for (std::size_t n = 0; n < call.states.size(); ++n) {
    auto& state = call.states[n];
    const auto& target = call.plan.targets[n];
    const auto late = now - state.started_at;
    if (state.ended || late < kOverdueTime) {
      continue;
    }
    if (!state.suspected) {
      slow_at_[target.address] = now;
    }
    const bool unreachable =
        !call.needs_disk && late >= AnswerTime(target.address).Get();
    if (unreachable && !state.unreachable) {
      RecordResult(target, SendResult::kNoAnswer);
    }
    state.suspected = true;
    state.unreachable = state.unreachable || unreachable;
  }
}

StorageReplies ReplicaClient::Call(
    Fiber& fiber,
    const Plan& plan,
    const StorageRequest& request,
    const std::function<bool(const StorageReplies&)>& enough) {
  auto call = std::make_shared<MultiCall>(loop_, plan, request);
  const auto count = plan.targets.size();
  const auto started_at = std::chrono::steady_clock::now();
  const auto deadline = started_at + plan.timeout;
  auto hedge_at = started_at + kHedgeDelay;
  auto overdue_at = started_at + kOverdueTime;
  auto probe_at = started_at + kProbeDelay;
  for (std::size_t n = 0; n < std::min(plan.initial_targets, count); ++n) {
    hedge_budget_.OnRequestSent();
    ++counts_.first;
    StartSend(call, n);
  }
  std::size_t replacements = 0;
  while (!enough(call->replies)) {
    const auto now = std::chrono::steady_clock::now();
    // Each failure, also one that the target answers, starts a further target
    // at once. A slow target starts one at each hedge delay, as far as the
    // hedge budget permits.
    while (call->started < count && replacements < call->unusable) {
      ++replacements;
      ++counts_.widened;
      StartSend(call, call->started);
    }
    if (call->ended == call->started) {
      counts_.widened += StartNext(
          call, std::max<std::size_t>(1, call->started * kWidenFactor));
    }
    if (now >= probe_at) {
      probe_at = now + kProbeInterval;
      ProbeWaiting(*call);
    }
    SendToRegained(call);
    if (now >= overdue_at) {
      overdue_at = now + kOverdueTime;
      SuspectOverdue(*call);
      if (call->started < count && hedge_budget_.TrySpendReserve()) {
        counts_.overdue += StartNext(call, 1);
      }
    }
    if (call->started < count && now >= hedge_at) {
      hedge_at = now + kHedgeDelay;
      if (hedge_budget_.TrySpend()) {
        ++counts_.hedges;
        StartSend(call, call->started);
      }
    }
    if (now >= deadline ||
        (call->ended == call->started && call->started == count)) {
      break;
    }
    auto wake_at = std::min({deadline, overdue_at, probe_at});
    if (call->started < count) {
      wake_at = std::min(wake_at, hedge_at);
    }
    call->changed.Wait(
        fiber,
        std::max(std::chrono::milliseconds(1),
                 std::chrono::ceil<std::chrono::milliseconds>(wake_at - now)));
  }
  return call->replies;
}

}  // namespace comfreyfold
