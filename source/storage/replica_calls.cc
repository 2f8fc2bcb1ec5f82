#include "storage/replica_calls.h"

#include <algorithm>
#include <utility>

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr int kOk = 200;
// A replica that has not answered by then is helped out by the next: some
// syncs of a disk and round trips between data centres.
constexpr std::chrono::milliseconds kHedgeAfter{40};
constexpr std::chrono::milliseconds kConnectTimeout{300};
// A relay answers within two round trips and a sync, or is cut off itself.
constexpr std::chrono::milliseconds kRelayTimeout{250};
// A replica that failed is asked last for so long.
constexpr std::chrono::milliseconds kSuspicion{1000};

}  // namespace

struct ReplicaCalls::Round {
  Round(Loop& loop, Plan asked, std::string encoded)
      : plan(std::move(asked)), body(std::move(encoded)), changed(loop) {}

  Plan plan;
  std::string body;
  Condition changed;
  StorageReplies replies;
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t failed = 0;
};

ReplicaCalls::ReplicaCalls(Loop& loop,
                           HttpClient& http,
                           std::string data_centre)
    : loop_(loop), http_(http), data_centre_(std::move(data_centre)) {}

bool ReplicaCalls::Suspected(const StorageMember& member) const {
  const auto it = failed_.find(member.address);
  return it != failed_.end() &&
         std::chrono::steady_clock::now() - it->second.at < kSuspicion;
}

bool ReplicaCalls::Cut(const StorageMember& member) const {
  const auto it = failed_.find(member.address);
  return relays_ && it != failed_.end() &&
         it->second.how == Sent::kNoConnection;
}

void ReplicaCalls::Note(const StorageMember& member, Sent sent) {
  const bool answered = sent == Sent::kAnswered;
  const bool was_failing = failed_.count(member.address) > 0;
  if (answered) {
    failed_.erase(member.address);
  } else {
    failed_[member.address] = {std::chrono::steady_clock::now(), sent};
  }
  if (on_reachable_ && was_failing == answered) {
    on_reachable_(member, answered);
  }
}

std::vector<StorageMember> ReplicaCalls::InOrder(
    std::vector<StorageMember> members) const {
  const auto rank = [this](const StorageMember& it) {
    return std::pair(Suspected(it), it.data_centre != data_centre_);
  };
  std::stable_sort(
      members.begin(), members.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return members;
}

bool ReplicaCalls::AskOne(Fiber& fiber,
                          const StorageMember& target,
                          const StorageRequest& request,
                          std::chrono::milliseconds timeout,
                          StorageReply& reply) {
  Plan plan;
  plan.targets = {target};
  plan.timeout = timeout;
  auto replies = Ask(fiber, plan, request,
                     [](const StorageReplies& it) { return !it.empty(); });
  if (replies.empty()) {
    return false;
  }
  reply = std::move(replies.begin()->second);
  return true;
}

ReplicaCalls::Sent ReplicaCalls::SendTo(Fiber& fiber,
                                        const std::string& address,
                                        const std::string& disk,
                                        const std::string& body,
                                        bool relayed,
                                        std::chrono::milliseconds timeout,
                                        StorageReply& reply) {
  HttpOptions options;
  options.connect_timeout = std::min(kConnectTimeout, timeout);
  options.idle_timeout = timeout;
  // A connection may have gone silent for good while new ones work.
  options.fresh_connection = failed_.count(address) > 0;
  HttpRequest request{"POST", kStoragePath + disk, {}, body};
  if (relayed) {
    request.headers.push_back({kRelayHeader, "1"});
  }
  try {
    const auto http_reply = http_.Send(fiber, address, request, options);
    if (http_reply.status != kOk) {
      return Sent::kNoAnswer;
    }
    reply = DecodeStorageReply(http_reply.body);
    return Sent::kAnswered;
  } catch (const HttpFailure& e) {
    // The caller notes it and tells what changes.
    return e.sent() ? Sent::kNoAnswer : Sent::kNoConnection;
  } catch (const WireError&) {
    return Sent::kNoAnswer;
  }
}

// The relay that worked last, then others as far as the budget goes: the way
// may be free and the storage daemon itself be gone.
bool ReplicaCalls::SendByRelay(Fiber& fiber,
                               const Round& round,
                               std::size_t n,
                               StorageReply& reply) {
  auto relays = relays_ ? relays_() : std::vector<std::string>{};
  if (!good_relay_.empty()) {
    relays.insert(relays.begin(), good_relay_);
  }
  const auto until = std::chrono::steady_clock::now() + round.plan.timeout;
  const auto& disk = round.plan.targets[n].disk;
  for (const auto& it : relays) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    if (left.count() <= 0 || (it != good_relay_ && !hedges_.TrySpend())) {
      return false;
    }
    if (SendTo(fiber, it, disk, round.body, true, std::min(left, kRelayTimeout),
               reply) == Sent::kAnswered) {
      good_relay_ = it;
      return true;
    }
    if (it == good_relay_) {
      good_relay_.clear();
    }
  }
  return false;
}

// Looks whether the direct way is open again, beside the requests.
void ReplicaCalls::Probe(const StorageMember& member) {
  const auto now = std::chrono::steady_clock::now();
  auto& probed_at = probed_at_[member.address];
  if (now - probed_at < kSuspicion) {
    return;
  }
  probed_at = now;
  loop_.Spawn([this, member](Fiber& fiber) {
    StorageRequest question;
    question.operation = StorageOperation::kAdopt;
    StorageReply reply;
    Note(member, SendTo(fiber, member.address, member.disk, Encode(question),
                        false, kConnectTimeout, reply));
  });
}

// Through others only where no connection came about: a daemon that is slow
// for want of processor time would be made slower by hearing all of it twice.
void ReplicaCalls::Start(const std::shared_ptr<Round>& round, std::size_t n) {
  ++round->started;
  loop_.Spawn([this, round, n](Fiber& fiber) {
    const auto& target = round->plan.targets[n];
    StorageReply reply;
    bool answered = false;
    if (Cut(target)) {
      Probe(target);
    } else {
      const auto sent = SendTo(fiber, target.address, target.disk, round->body,
                               false, round->plan.timeout, reply);
      Note(target, sent);
      answered = sent == Sent::kAnswered;
    }
    answered =
        answered || (Cut(target) && SendByRelay(fiber, *round, n, reply));
    if (answered) {
      round->replies[target.disk] = std::move(reply);
    }
    ++round->ended;
    round->failed += answered ? 0 : 1;
    round->changed.NotifyAll();
  });
}

StorageReplies ReplicaCalls::Ask(
    Fiber& fiber,
    const Plan& plan,
    const StorageRequest& request,
    const std::function<bool(const StorageReplies&)>& enough) {
  auto round = std::make_shared<Round>(loop_, plan, Encode(request));
  const auto count = plan.targets.size();
  const auto start = std::chrono::steady_clock::now();
  const auto until = start + plan.timeout;
  auto hedge_at = start + kHedgeAfter;
  for (std::size_t n = 0; n < std::min(plan.first_wave, count); ++n) {
    hedges_.OnRequestSent();
    Start(round, n);
  }
  std::size_t replaced = 0;
  while (!enough(round->replies)) {
    const auto now = std::chrono::steady_clock::now();
    // Each failure brings in a further target at once, slowness one after the
    // other as far as the budget goes.
    while (round->started < count && replaced < round->failed) {
      ++replaced;
      Start(round, round->started);
    }
    if (round->started < count && now >= hedge_at) {
      hedge_at = now + kHedgeAfter;
      if (hedges_.TrySpend()) {
        Start(round, round->started);
      }
    }
    if (now >= until ||
        (round->ended == round->started && round->started == count)) {
      break;
    }
    const auto next =
        round->started < count ? std::min(until, hedge_at) : until;
    round->changed.Wait(
        fiber,
        std::max(std::chrono::milliseconds(1),
                 std::chrono::ceil<std::chrono::milliseconds>(next - now)));
  }
  return round->replies;
}

}  // namespace comfreyfold
