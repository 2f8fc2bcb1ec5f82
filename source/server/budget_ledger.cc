#include "server/budget_ledger.h"

#include <algorithm>
#include <utility>

#include "clients/base64.h"
#include "clients/budget_codec.h"
#include "core/call_error.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kReturnStep{500};
// What nobody reserves from goes back: soon when the budget is scarce, else
// so late that a program finds a grant after its longest pauses, also when
// the service is out by then.
constexpr seconds kIdleReturn{5};
constexpr seconds kForgottenReturn{3600};
constexpr milliseconds kAheadPause{2000};
// A refusal is not asked again of the service for this long.
constexpr milliseconds kRefusalMemory{1000};
constexpr milliseconds kFirstConflictPause{5};
constexpr milliseconds kMostConflictPause{100};
constexpr int kMostLostAnswers = 2;

seconds UnixTime() {
  return std::chrono::duration_cast<seconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

milliseconds Left(steady_clock::time_point deadline) {
  return std::chrono::duration_cast<milliseconds>(deadline -
                                                  steady_clock::now());
}

// `contract` null: it was removed meanwhile.
[[noreturn]] void RefuseSpent(const Contract* contract) {
  if (contract == nullptr) {
    throw CallError(403, "no_contract",
                    "the customer's contract was removed; apply one",
                    Verdict::kNotRun);
  }
  const auto now = UnixTime();
  const auto end =
      PeriodStart(now, contract->budget_period) + contract->budget_period;
  throw CallError(429, "budget_spent",
                  "the budget of " + std::to_string(contract->budget_tokens) +
                      " tokens does not hold the worst case of this call; "
                      "lower max_tokens, or retry in the next period",
                  Verdict::kNotRun, end - now);
}

// One write of a customer's record at a time.
class WriteTurn {
 public:
  WriteTurn(bool& writing, Condition& changed)
      : writing_(writing), changed_(changed) {
    writing_ = true;
  }
  ~WriteTurn() {
    writing_ = false;
    changed_.NotifyAll();
  }
  WriteTurn(const WriteTurn&) = delete;
  WriteTurn& operator=(const WriteTurn&) = delete;

 private:
  bool& writing_;
  Condition& changed_;
};

}  // namespace

struct BudgetLedger::Holding {
  Holding(Loop& loop, std::string name, BudgetAccount fresh)
      : customer(std::move(name)), account(std::move(fresh)), changed(loop) {}

  std::string customer;
  BudgetAccount account;
  bool writing = false;
  std::int64_t refused_tokens = 0;
  steady_clock::time_point refused_until;
  steady_clock::time_point next_ahead;
  std::vector<std::string> others;  // Daemons with grants, when last read.
  Condition changed;
};

BudgetLedger::BudgetLedger(Loop& loop,
                           KvClient& kv,
                           ContractStore& contracts,
                           EventLog& log)
    : loop_(loop),
      kv_(kv),
      contracts_(contracts),
      log_(log),
      run_(RandomId()) {}

void BudgetLedger::Start() {
  loop_.Spawn([this](Fiber& fiber) { ReturnLoop(fiber); });
}

std::shared_ptr<BudgetLedger::Holding> BudgetLedger::HoldingOf(
    const std::string& customer) {
  auto& holding = holdings_[customer];
  if (!holding) {
    holding = std::make_shared<Holding>(loop_, customer,
                                        BudgetAccount(log_.daemon(), run_));
  }
  return holding;
}

std::shared_ptr<const Contract> BudgetLedger::UpdateTerms(
    Holding& holding) const {
  const auto contract = contracts_.FindByName(holding.customer);
  BudgetTerms terms;
  if (contract) {
    terms.tokens = contract->budget_tokens;
    terms.period_start = PeriodStart(UnixTime(), contract->budget_period);
  }
  if (terms != holding.account.terms()) {
    holding.refused_until = {};
  }
  holding.account.SetTerms(terms);
  return contract;
}

BudgetReservation BudgetLedger::Reserve(Fiber& fiber,
                                        const std::string& customer,
                                        std::int64_t tokens,
                                        steady_clock::time_point deadline) {
  const auto holding = HoldingOf(customer);
  auto& account = holding->account;
  while (true) {
    const auto contract = UpdateTerms(*holding);
    const auto now = steady_clock::now();
    const bool known_spent =
        now < holding->refused_until && tokens >= holding->refused_tokens;
    if (!contract || tokens > contract->budget_tokens || known_spent) {
      RefuseSpent(contract.get());
    }
    const bool wait = account.MustWait(tokens);
    if (!wait && account.TryReserve(tokens, now)) {
      break;
    }
    if (now >= deadline) {
      throw CallError(503, "budget_busy",
                      "other calls of the customer hold the budget that can "
                      "be reserved at a time; retry",
                      Verdict::kNotRun, kRetryLater);
    }
    if (wait || holding->writing) {
      holding->changed.Wait(fiber, Left(deadline));
      continue;
    }
    Refill(fiber, *holding, tokens);
  }
  RefillAhead(holding);
  return {tokens, [holding](std::int64_t reserved, std::int64_t used) {
            holding->account.Settle(reserved, used);
            holding->changed.NotifyAll();
          }};
}

bool BudgetLedger::TryRefill(Fiber& fiber,
                             Holding& holding,
                             std::int64_t tokens) {
  return Rewrite(fiber, holding, [&](BudgetRecord& record) {
    holding.others.clear();
    for (const auto& it : record.grants) {
      if (it.daemon != log_.daemon()) {
        holding.others.push_back(it.daemon);
      }
    }
    return holding.account.Refill(record, tokens, steady_clock::now());
  });
}

void BudgetLedger::RefillAhead(const std::shared_ptr<Holding>& holding) {
  const auto now = steady_clock::now();
  if (!holding->account.ShouldRefill() || holding->writing ||
      now < holding->next_ahead) {
    return;
  }
  holding->next_ahead = now + kAheadPause;
  loop_.Spawn([this, holding](Fiber& fiber) {
    try {
      if (!holding->writing) {
        TryRefill(fiber, *holding, 0);
      }
    } catch (const KvUnavailable&) {
      // What is granted goes on being used.
    }
  });
}

void BudgetLedger::Refill(Fiber& fiber, Holding& holding, std::int64_t tokens) {
  bool granted = false;
  try {
    granted = TryRefill(fiber, holding, tokens);
    if (!granted && recall_ && !holding.others.empty()) {
      recall_(fiber, holding.customer, holding.others);
      granted = TryRefill(fiber, holding, tokens);
    }
  } catch (const KvUnavailable&) {
    throw CallError(503, "budget_unavailable",
                    "the budget records cannot be reached and what was "
                    "granted here is used up; retry",
                    Verdict::kNotRun, kRetryLater);
  }
  if (!granted) {
    holding.refused_tokens = tokens;
    holding.refused_until = steady_clock::now() + kRefusalMemory;
    log_.Write({.name = "budget_spent", .customer = holding.customer});
    // What is too little here may be enough elsewhere, put together.
    if (holding.account.available() > 0) {
      GiveBack(fiber, holding);
    }
  }
}

bool BudgetLedger::Rewrite(Fiber& fiber,
                           Holding& holding,
                           const std::function<bool(BudgetRecord&)>& change) {
  const WriteTurn turn(holding.writing, holding.changed);
  const auto key = kBudgetPrefix + holding.customer;
  auto pause = kFirstConflictPause;
  int lost_answers = 0;
  while (true) {
    try {
      const auto item = kv_.Get(fiber, key);
      auto record = item ? DecodeBudget(item->value) : BudgetRecord{};
      if (!change(record)) {
        return false;
      }
      KvTxn txn;
      txn.compares.push_back(
          KvCompare::Unchanged(key, item ? item->mod_revision : 0));
      txn.puts.push_back({key, EncodeBudget(record)});
      holding.account.WriteStarted(record);
      ++writes_;
      if (kv_.Commit(fiber, txn).succeeded) {
        holding.account.WriteDone(record);
        return true;
      }
    } catch (const KvUnavailable& e) {
      // An answer lost after the write needs no settling: the counters only
      // grow, and a second write shuts out the first if it is still on its
      // way.
      if (!e.may_have_applied() || ++lost_answers > kMostLostAnswers) {
        throw;
      }
    }
    fiber.Sleep(pause);
    pause = std::min(pause * 2, kMostConflictPause);
  }
}

void BudgetLedger::GiveBack(Fiber& fiber, Holding& holding) {
  try {
    Rewrite(fiber, holding, [&holding](BudgetRecord& record) {
      holding.account.GiveBack(record);
      return true;
    });
  } catch (const std::runtime_error& e) {
    // Nothing is lost: the grant counts as spent until the next try.
    log_.Write({.name = "budget_not_given_back",
                .customer = holding.customer,
                .detail = e.what()});
  }
}

void BudgetLedger::GiveBackUnused(Fiber& fiber, const std::string& customer) {
  const auto it = holdings_.find(customer);
  if (it == holdings_.end()) {
    return;
  }
  const auto holding = it->second;
  auto& account = holding->account;
  account.MarkScarce();
  const auto now = steady_clock::now();
  if (!holding->writing &&
      account.MustGiveBack(now - kIdleReturn, now - kForgottenReturn)) {
    GiveBack(fiber, *holding);
  }
}

void BudgetLedger::GiveBackAll(Fiber& fiber) {
  // Copied: calls may add customers while this waits.
  const auto holdings = holdings_;
  for (const auto& [customer, holding] : holdings) {
    if (holding->account.holds_grant() && !holding->writing) {
      GiveBack(fiber, *holding);
    }
  }
}

void BudgetLedger::Distrust() {
  for (const auto& [customer, holding] : holdings_) {
    holding->account.MarkUnconfirmed();
  }
}

void BudgetLedger::ReturnLoop(Fiber& fiber) {
  while (true) {
    fiber.Sleep(kReturnStep);
    const auto holdings = holdings_;
    for (const auto& [customer, holding] : holdings) {
      UpdateTerms(*holding);
      const auto now = steady_clock::now();
      if (!holding->writing && holding->account.MustGiveBack(
                                   now - kIdleReturn, now - kForgottenReturn)) {
        GiveBack(fiber, *holding);
      }
    }
  }
}

}  // namespace comfreyfold
