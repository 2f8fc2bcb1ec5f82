#include "server/budget_reclaimer.h"

#include <algorithm>
#include <utility>

#include "clients/budget_codec.h"
#include "core/hash.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::seconds kReclaimInterval{3};
// All records are read at least once in this many rounds, to find grants that
// no drop in the number of live daemons announced.
constexpr int kRoundsPerSweep = 20;
constexpr std::chrono::seconds kPeerTimeout{5};

}  // namespace

BudgetReclaimer::BudgetReclaimer(Loop& loop,
                                 HttpClient& http,
                                 KvClient& kv,
                                 Membership& membership,
                                 GrantUseReporter& grant_use_reporter,
                                 EventLog& log,
                                 std::string run,
                                 int lanes)
    : loop_(loop),
      http_(http),
      kv_(kv),
      membership_(membership),
      grant_use_reporter_(grant_use_reporter),
      log_(log),
      run_(std::move(run)),
      lanes_(lanes) {}

void BudgetReclaimer::Start() {
  loop_.Spawn([this](Fiber& fiber) {
    std::size_t previous_live = 0;
    for (int round = 0;; ++round) {
      fiber.Sleep(kReclaimInterval);
      const auto live = membership_.Eligible(steady_clock::now()).size();
      // Grants become reclaimable when a daemon fails or when this one
      // restarts.
      const bool due = live < previous_live || round % kRoundsPerSweep == 0;
      previous_live = live;
      if (!due) {
        continue;
      }
      try {
        ReclaimOnce(fiber);
      } catch (const std::runtime_error& e) {
        // The grants count as spent until a later round succeeds.
        log_.Write({.name = "budget_not_reclaimed", .detail = e.what()});
        previous_live = live + 1;
      }
    }
  });
}

bool BudgetReclaimer::ShouldReclaim(const BudgetGrant& grant) const {
  const auto& self = membership_.self().daemon;
  if (grant.daemon == self) {
    // Only one process runs per daemon id, so any other run of this daemon has
    // ended.
    return grant.id != run_;
  }
  const auto now = steady_clock::now();
  if (membership_.IsLive(grant.daemon, now)) {
    return false;
  }
  const auto order =
      RendezvousOrder("reclaim/" + grant.daemon, membership_.Eligible(now));
  return !order.empty() && order.front() == self;
}

void BudgetReclaimer::ReclaimOnce(Fiber& fiber) {
  GrantQuestion question;
  for (const auto& it : kv_.Prefix(fiber, kBudgetPrefix).items) {
    MarkClosing(fiber, it, question.grants);
  }
  if (question.grants.empty()) {
    return;
  }
  const auto tally = CollectUses(fiber, question);
  if (!tally.Complete(lanes_)) {
    throw std::runtime_error("some lanes have no owner that answered");
  }
  for (const auto& it : question.grants) {
    CloseReclaimedGrant(fiber, it, tally.Total(it));
  }
}

bool BudgetReclaimer::MarkClosing(Fiber& fiber,
                                  const KvItem& item,
                                  std::vector<GrantName>& marked) {
  auto record = DecodeBudget(item.value);
  const auto customer = item.key.substr(sizeof(kBudgetPrefix) - 1);
  std::vector<GrantName> due;
  bool changed = false;
  for (auto& it : record.grants) {
    if (ShouldReclaim(it)) {
      due.push_back({customer, it.id});
      changed = changed || !it.closing;
      it.closing = true;
    }
  }
  if (changed) {
    KvTxn txn;
    txn.compares.push_back(KvCompare::Unchanged(item.key, item.mod_revision));
    txn.puts.push_back({item.key, EncodeBudget(record)});
    if (!kv_.Commit(fiber, txn).succeeded) {
      throw std::runtime_error("the budget record of " + customer +
                               " was changed by another write");
    }
  }
  marked.insert(marked.end(), due.begin(), due.end());
  return changed;
}

GrantTally BudgetReclaimer::CollectUses(Fiber& fiber,
                                        const GrantQuestion& question) {
  GrantTally out;
  out.Add(grant_use_reporter_.Answer(fiber, question));
  HttpOptions options;
  options.idle_timeout = kPeerTimeout;
  const auto body = Encode(question);
  // Copied because heartbeats change the peers while this fiber waits.
  const auto peers = membership_.peers();
  for (const auto& [daemon, heartbeat] : peers) {
    if (!membership_.IsLive(daemon, steady_clock::now())) {
      continue;
    }
    const auto reply = http_.Send(
        fiber, heartbeat.address,
        {"POST", kGrantUsePath, {{"Content-Type", kThriftType}}, body},
        options);
    if (reply.status == 200) {
      out.Add(DecodeGrantAnswer(reply.body));
    }
  }
  return out;
}

void BudgetReclaimer::CloseReclaimedGrant(Fiber& fiber,
                                          const GrantName& name,
                                          std::int64_t tokens) {
  const auto key = kBudgetPrefix + name.customer;
  const auto item = kv_.Get(fiber, key);
  if (!item) {
    return;
  }
  auto record = DecodeBudget(item->value);
  const auto before = record.Committed();
  if (!record.CloseGrant(name.grant, tokens)) {
    return;
  }
  KvTxn txn;
  txn.compares.push_back(KvCompare::Unchanged(key, item->mod_revision));
  txn.puts.push_back({key, EncodeBudget(record)});
  if (!kv_.Commit(fiber, txn).succeeded) {
    throw std::runtime_error("the budget record of " + name.customer +
                             " was changed by another write");
  }
  log_.Write({.name = "budget_reclaimed",
              .customer = name.customer,
              .detail = std::to_string(before - record.Committed()) +
                        " tokens of run " + name.grant});
}

}  // namespace comfreyfold
