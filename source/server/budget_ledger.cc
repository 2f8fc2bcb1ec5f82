#include "server/budget_ledger.h"

#include <algorithm>
#include <utility>

#include "clients/base64.h"
#include "clients/budget_codec.h"
#include "core/call_error.h"
#include "core/time_point.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr milliseconds kReturnInterval{500};
// A grant that nobody reserves from is given back after this time: soon when
// the budget is scarce, and otherwise so late that a program still finds a
// grant after a long pause, even if the service is unavailable by then.
constexpr seconds kScarceIdleTime{5};
constexpr seconds kAmpleIdleTime{3600};
constexpr milliseconds kAdvanceRefillInterval{2000};
// After a refusal, the record is not read again for this long for a request of
// the same size or larger.
constexpr milliseconds kRefusalCacheTime{1000};
constexpr milliseconds kInitialConflictBackoff{5};
constexpr milliseconds kMaxConflictBackoff{100};
constexpr int kMaxLostAnswers = 2;

seconds UnixTime() {
  return std::chrono::duration_cast<seconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

// `contract` is null when it has been removed in the meantime.
[[noreturn]] void ThrowBudgetSpent(const Contract* contract) {
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
                      " tokens has too few left for the worst case of this "
                      "call; "
                      "lower max_tokens, or retry in the next period",
                  Verdict::kNotRun, end - now);
}

// Marks a write of a customer's record as in progress, so that only one runs at
// a time.
class WriteGuard {
 public:
  WriteGuard(bool& writing, Condition& changed)
      : writing_(writing), changed_(changed) {
    writing_ = true;
  }
  ~WriteGuard() {
    writing_ = false;
    changed_.NotifyAll();
  }
  WriteGuard(const WriteGuard&) = delete;
  WriteGuard& operator=(const WriteGuard&) = delete;

 private:
  bool& writing_;
  Condition& changed_;
};

}  // namespace

struct BudgetLedger::CustomerState {
  CustomerState(Loop& loop, std::string name, BudgetAccount initial)
      : customer(std::move(name)), account(std::move(initial)), changed(loop) {}

  std::string customer;
  BudgetAccount account;
  bool writing = false;
  std::int64_t refused_tokens = 0;
  steady_clock::time_point refused_until;
  steady_clock::time_point next_advance_refill;
  std::vector<std::string> other_daemons;  // With grants, when last read.
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

std::shared_ptr<BudgetLedger::CustomerState> BudgetLedger::StateOf(
    const std::string& customer) {
  auto& customer_state = customer_states_[customer];
  if (!customer_state) {
    customer_state = std::make_shared<CustomerState>(
        loop_, customer, BudgetAccount(log_.daemon(), run_));
  }
  return customer_state;
}

std::shared_ptr<const Contract> BudgetLedger::UpdateTerms(
    CustomerState& customer_state) const {
  const auto contract = contracts_.FindByName(customer_state.customer);
  BudgetTerms terms;
  if (contract) {
    terms.tokens = contract->budget_tokens;
    terms.period_start = PeriodStart(UnixTime(), contract->budget_period);
  }
  if (terms != customer_state.account.terms()) {
    customer_state.refused_until = {};
  }
  customer_state.account.SetTerms(terms);
  return contract;
}

BudgetReservation BudgetLedger::Reserve(Fiber& fiber,
                                        const std::string& customer,
                                        std::int64_t tokens,
                                        steady_clock::time_point deadline) {
  const auto customer_state = StateOf(customer);
  auto& account = customer_state->account;
  while (true) {
    const auto contract = UpdateTerms(*customer_state);
    const auto now = steady_clock::now();
    const bool known_spent = now < customer_state->refused_until &&
                             tokens >= customer_state->refused_tokens;
    if (!contract || tokens > contract->budget_tokens || known_spent) {
      ThrowBudgetSpent(contract.get());
    }
    const bool must_wait = account.MustWait(tokens);
    if (!must_wait && account.TryReserve(tokens, now)) {
      break;
    }
    if (now >= deadline) {
      throw CallError(503, "budget_busy",
                      "calls in flight hold all of the customer's budget "
                      "that can be reserved at once; retry",
                      Verdict::kNotRun, kRetryLater);
    }
    if (must_wait || customer_state->writing) {
      customer_state->changed.Wait(fiber, TimeLeft(deadline));
      continue;
    }
    Refill(fiber, *customer_state, tokens);
  }
  RefillInAdvance(customer_state);
  return {tokens, [customer_state](std::int64_t reserved, std::int64_t used) {
            customer_state->account.Settle(reserved, used);
            customer_state->changed.NotifyAll();
          }};
}

bool BudgetLedger::TryRefill(Fiber& fiber,
                             CustomerState& customer_state,
                             std::int64_t tokens) {
  return Rewrite(fiber, customer_state, [&](BudgetRecord& record) {
    customer_state.other_daemons.clear();
    for (const auto& it : record.grants) {
      if (it.daemon != log_.daemon()) {
        customer_state.other_daemons.push_back(it.daemon);
      }
    }
    return customer_state.account.Refill(record, tokens, steady_clock::now());
  });
}

void BudgetLedger::RefillInAdvance(
    const std::shared_ptr<CustomerState>& customer_state) {
  const auto now = steady_clock::now();
  if (!customer_state->account.ShouldRefill() || customer_state->writing ||
      now < customer_state->next_advance_refill) {
    return;
  }
  customer_state->next_advance_refill = now + kAdvanceRefillInterval;
  loop_.Spawn([this, customer_state](Fiber& fiber) {
    try {
      if (!customer_state->writing) {
        TryRefill(fiber, *customer_state, 0);
      }
    } catch (const KvUnavailable&) {
      // Calls continue to use what has been granted.
    }
  });
}

void BudgetLedger::Refill(Fiber& fiber,
                          CustomerState& customer_state,
                          std::int64_t tokens) {
  bool granted = false;
  try {
    granted = TryRefill(fiber, customer_state, tokens);
    if (!granted && recall_ && !customer_state.other_daemons.empty()) {
      recall_(fiber, customer_state.customer, customer_state.other_daemons);
      granted = TryRefill(fiber, customer_state, tokens);
    }
  } catch (const KvUnavailable&) {
    throw CallError(503, "budget_unavailable",
                    "the budget records cannot be reached and this daemon's "
                    "grant is used up; retry",
                    Verdict::kNotRun, kRetryLater);
  }
  if (!granted) {
    customer_state.refused_tokens = tokens;
    customer_state.refused_until = steady_clock::now() + kRefusalCacheTime;
    log_.Write({.name = "budget_spent", .customer = customer_state.customer});
    // The rest of this grant may be enough for a call at another daemon.
    if (customer_state.account.available() > 0) {
      GiveBack(fiber, customer_state);
    }
  }
}

bool BudgetLedger::Rewrite(Fiber& fiber,
                           CustomerState& customer_state,
                           const std::function<bool(BudgetRecord&)>& change) {
  const WriteGuard guard(customer_state.writing, customer_state.changed);
  const auto key = kBudgetPrefix + customer_state.customer;
  auto backoff = kInitialConflictBackoff;
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
      customer_state.account.WriteStarted(record);
      ++writes_;
      if (kv_.Commit(fiber, txn).succeeded) {
        customer_state.account.WriteDone(record);
        return true;
      }
    } catch (const KvUnavailable& e) {
      // When the answer to a write is lost, the write is simply repeated: the
      // counters only grow, and the revision check rejects the first write if
      // it arrives after the second.
      if (!e.may_have_applied() || ++lost_answers > kMaxLostAnswers) {
        throw;
      }
    }
    fiber.Sleep(backoff);
    backoff = std::min(backoff * 2, kMaxConflictBackoff);
  }
}

void BudgetLedger::GiveBack(Fiber& fiber, CustomerState& customer_state) {
  try {
    Rewrite(fiber, customer_state, [&customer_state](BudgetRecord& record) {
      customer_state.account.GiveBack(record);
      return true;
    });
  } catch (const std::runtime_error& e) {
    // The record counts the whole grant as spent until the next attempt.
    log_.Write({.name = "budget_not_given_back",
                .customer = customer_state.customer,
                .detail = e.what()});
  }
}

void BudgetLedger::GiveBackUnused(Fiber& fiber, const std::string& customer) {
  const auto it = customer_states_.find(customer);
  if (it == customer_states_.end()) {
    return;
  }
  const auto customer_state = it->second;
  auto& account = customer_state->account;
  account.MarkScarce();
  const auto now = steady_clock::now();
  if (!customer_state->writing &&
      account.MustGiveBack(now - kScarceIdleTime, now - kAmpleIdleTime)) {
    GiveBack(fiber, *customer_state);
  }
}

void BudgetLedger::GiveBackAll(Fiber& fiber) {
  // Copied because calls may add customers while this fiber waits.
  const auto customer_states = customer_states_;
  for (const auto& [customer, customer_state] : customer_states) {
    if (customer_state->account.holds_grant() && !customer_state->writing) {
      GiveBack(fiber, *customer_state);
    }
  }
}

void BudgetLedger::Distrust() {
  for (const auto& [customer, customer_state] : customer_states_) {
    customer_state->account.MarkUnconfirmed();
  }
}

void BudgetLedger::ReturnLoop(Fiber& fiber) {
  while (true) {
    fiber.Sleep(kReturnInterval);
    const auto customer_states = customer_states_;
    for (const auto& [customer, customer_state] : customer_states) {
      UpdateTerms(*customer_state);
      const auto now = steady_clock::now();
      if (!customer_state->writing &&
          customer_state->account.MustGiveBack(now - kScarceIdleTime,
                                               now - kAmpleIdleTime)) {
        GiveBack(fiber, *customer_state);
      }
    }
  }
}

}  // namespace comfreyfold
