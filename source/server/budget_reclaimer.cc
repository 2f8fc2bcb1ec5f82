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

constexpr std::chrono::seconds kInterval{3};
// One read of all records this often finds what events did not tell of.
constexpr int kRoundsBetweenSweeps = 20;
constexpr std::chrono::seconds kPeerTimeout{5};

}  // namespace

BudgetReclaimer::BudgetReclaimer(Loop& loop,
                                 HttpClient& http,
                                 KvClient& kv,
                                 Membership& membership,
                                 GrantSealer& sealer,
                                 EventLog& log,
                                 std::string run,
                                 int lanes)
    : loop_(loop),
      http_(http),
      kv_(kv),
      membership_(membership),
      sealer_(sealer),
      log_(log),
      run_(std::move(run)),
      lanes_(lanes) {}

void BudgetReclaimer::Start() {
  loop_.Spawn([this](Fiber& fiber) {
    std::size_t live_before = 0;
    for (int round = 0;; ++round) {
      fiber.Sleep(kInterval);
      const auto live = membership_.EligibleDaemons(steady_clock::now()).size();
      // A death, and this daemon's own start, are what makes work.
      const bool due = live < live_before || round % kRoundsBetweenSweeps == 0;
      live_before = live;
      if (!due) {
        continue;
      }
      try {
        ReclaimOnce(fiber);
      } catch (const std::runtime_error& e) {
        // The grants stay counted as spent until another round.
        log_.Write({.name = "budget_not_reclaimed", .detail = e.what()});
        live_before = live + 1;
      }
    }
  });
}

bool BudgetReclaimer::IsDue(const BudgetGrant& grant) const {
  const auto& self = membership_.self().daemon;
  if (grant.daemon == self) {
    // One process a daemon id: another run of this one has ended.
    return grant.id != run_;
  }
  const auto now = steady_clock::now();
  if (membership_.IsLive(grant.daemon, now)) {
    return false;
  }
  const auto order = RendezvousOrder("reclaim/" + grant.daemon,
                                     membership_.EligibleDaemons(now));
  return !order.empty() && order.front() == self;
}

void BudgetReclaimer::ReclaimOnce(Fiber& fiber) {
  GrantQuestion question;
  for (const auto& it : kv_.Prefix(fiber, kBudgetPrefix).items) {
    Mark(fiber, it, question.grants);
  }
  if (question.grants.empty()) {
    return;
  }
  const auto tally = Ask(fiber, question);
  if (!tally.Complete(lanes_)) {
    throw std::runtime_error("not every lane has an owner that answers");
  }
  for (const auto& it : question.grants) {
    Release(fiber, it, tally.Total(it));
  }
}

bool BudgetReclaimer::Mark(Fiber& fiber,
                           const KvItem& item,
                           std::vector<GrantName>& marked) {
  auto record = DecodeBudget(item.value);
  const auto customer = item.key.substr(sizeof(kBudgetPrefix) - 1);
  std::vector<GrantName> due;
  bool changed = false;
  for (auto& it : record.grants) {
    if (IsDue(it)) {
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
      throw std::runtime_error("the record of " + customer + " changed");
    }
  }
  marked.insert(marked.end(), due.begin(), due.end());
  return changed;
}

GrantTally BudgetReclaimer::Ask(Fiber& fiber, const GrantQuestion& question) {
  GrantTally out;
  out.Add(sealer_.Answer(fiber, question));
  HttpOptions options;
  options.idle_timeout = kPeerTimeout;
  const auto body = Encode(question);
  // Copied: heartbeats change the peers while this waits.
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

void BudgetReclaimer::Release(Fiber& fiber,
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
    throw std::runtime_error("the record of " + name.customer + " changed");
  }
  log_.Write({.name = "budget_reclaimed",
              .customer = name.customer,
              .detail = std::to_string(before - record.Committed()) +
                        " tokens of run " + name.grant});
}

}  // namespace comfreyfold
