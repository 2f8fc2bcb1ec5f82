#ifndef CONTRACT_PROPERTY_BUDGET_SIMULATION_H_
#define CONTRACT_PROPERTY_BUDGET_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/budget_account.h"

namespace comfreyfold {

// Simulates the accounts of several daemons on one stored budget record, with
// faults of the service and of the daemons. A single counter of the tokens that
// the engines really used serves as the reference.
class BudgetSimulation {
 public:
  using TimePoint = BudgetAccount::TimePoint;

  struct Call {
    std::size_t daemon = 0;
    std::int64_t tokens = 0;
    bool orphan = false;  // Its daemon died, but the engine continues.
    std::size_t lane = 0;
    std::int64_t epoch = 0;  // Of the lane when the call began.
    std::string run;
  };

  // The outcome of a write to the service.
  enum class WriteOutcome {
    kConfirmed,
    kAnswerLost,  // Applied without an answer.
    kNotApplied,
    kDelayed  // Applied by a later call of Deliver.
  };

  BudgetSimulation(std::size_t daemons, std::int64_t budget)
      : daemons_(daemons),
        budget_(budget),
        known_budgets_(daemons),
        run_ids_(daemons) {
    for (std::size_t i = 0; i < daemons; ++i) {
      Restart(i);
      lanes_.push_back({static_cast<int>(i), 1});
    }
  }

  // Restarts the daemon at `index`, which loses all of its state.
  void Restart(std::size_t index) {
    run_ids_[index] = "run-" + std::to_string(++run_count_);
    daemons_[index] = std::make_unique<BudgetAccount>(
        "d" + std::to_string(index), run_ids_[index]);
    UpdateTerms(index);
  }

  void Kill(std::size_t index) {
    for (auto& it : calls_) {
      it.orphan = it.orphan || it.daemon == index;
    }
    for (auto& it : lanes_) {
      if (it.owner == static_cast<int>(index)) {
        it.owner = -1;
      }
    }
    Restart(index);
  }

  // Passes the present budget and period to one daemon.
  void UpdateTerms(std::size_t index) {
    known_budgets_[index] = budget_;
    bound_ = std::max(bound_, budget_);
    daemons_[index]->SetTerms({budget_, std::chrono::seconds(period_)});
    if (std::all_of(known_budgets_.begin(), known_budgets_.end(),
                    [this](std::int64_t it) { return it == budget_; })) {
      ResetBound();
    }
  }
  void SetBudget(std::int64_t budget) { budget_ = budget; }
  void NextPeriod() { ++period_; }

  // Begins a call of at most `tokens`. Returns false when it is refused because
  // the budget is spent.
  bool Begin(std::size_t index, std::int64_t tokens, WriteOutcome outcome) {
    auto& account = *daemons_[index];
    const auto lane = LaneOwnedBy(index);
    if (!lane) {
      return true;  // Forwarded to an owner: neither begun nor refused here.
    }
    now_ += std::chrono::milliseconds(10);
    if (account.MustWait(tokens)) {
      return true;  // Queued: neither begun nor refused.
    }
    if (!account.TryReserve(tokens, now_)) {
      bool granted = false;
      Rewrite(index, outcome, [&](BudgetRecord& record) {
        granted = account.Refill(record, tokens, now_);
        return granted;
      });
      if (!account.TryReserve(tokens, now_)) {
        return granted;
      }
    }
    if (account.ShouldRefill()) {
      Rewrite(index, outcome, [&](BudgetRecord& record) {
        return account.Refill(record, 0, now_);
      });
    }
    calls_.push_back(
        {index, tokens, false, *lane, lanes_[*lane].epoch, run_ids_[index]});
    journal_[run_ids_[index]] += tokens;
    return true;
  }

  // Ends a call in flight, of whose maximum the engine used `part` sixteenths.
  void End(std::size_t which, std::int64_t part) {
    if (calls_.empty()) {
      return;
    }
    const auto at = which % calls_.size();
    const auto call = calls_[at];
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(at));
    const auto used = call.tokens * (part % 17) / 16;
    used_ += used;
    if (!call.orphan) {
      daemons_[call.daemon]->Settle(call.tokens, used);
      // The outcome is committed only by an owner that still has the lane.
      if (lanes_[call.lane].epoch == call.epoch) {
        journal_[call.run] += used - call.tokens;
      }
    }
  }

  // Lets a daemon take over a lane, whose owner is dead or only considered
  // dead.
  void TakeLane(std::size_t lane, std::size_t index) {
    auto& it = lanes_[lane % lanes_.size()];
    it.owner = static_cast<int>(index);
    ++it.epoch;
    daemons_[index]->MarkUnconfirmed();
  }

  // Marks the grant of one holder as closing, whether or not the holder is
  // dead.
  void MarkClosing(std::size_t which) {
    if (!record_.grants.empty()) {
      auto record = record_;
      auto& grant = record.grants[which % record.grants.size()];
      grant.closing = true;
      closing_run_ = grant.id;
      proved_tokens_.reset();
      Store(record);
    }
  }

  // Collects from the owners of all lanes how much of that grant was used
  // according to their journals.
  void ProveClosing() {
    const bool unowned =
        std::any_of(lanes_.begin(), lanes_.end(), [this](const Lane& it) {
          return it.owner < 0 ||
                 run_ids_[static_cast<std::size_t>(it.owner)] == closing_run_;
        });
    if (!unowned) {
      proved_tokens_ = journal_[closing_run_];
    }
  }

  // Closes the grant if its use is proved.
  void ReleaseClosing() {
    auto record = record_;
    if (proved_tokens_ && record.CloseGrant(closing_run_, *proved_tokens_)) {
      ++releases_;
      Store(record);
    }
    proved_tokens_.reset();
  }
  int releases() const { return releases_; }

  void GiveBack(std::size_t index, WriteOutcome outcome) {
    Rewrite(index, outcome, [&](BudgetRecord& record) {
      daemons_[index]->GiveBack(record);
      return true;
    });
  }

  // Applies the delayed write unless the record has changed since.
  void Deliver() {
    if (delayed_write_ && delayed_write_->base == revision_) {
      Store(delayed_write_->record);
    }
    delayed_write_.reset();
  }

  // Tokens used in the period, and the most that could be allowed in it.
  std::int64_t used() const { return used_; }
  std::int64_t bound() const { return bound_; }
  std::int64_t writes() const { return revision_; }
  std::size_t in_flight() const { return calls_.size(); }
  const BudgetRecord& record() const { return record_; }

 private:
  struct Lane {
    int owner = 0;  // -1 if the owner died.
    std::int64_t epoch = 0;
  };

  std::optional<std::size_t> LaneOwnedBy(std::size_t index) const {
    for (std::size_t i = 0; i < lanes_.size(); ++i) {
      if (lanes_[i].owner == static_cast<int>(index)) {
        return i;
      }
    }
    return std::nullopt;
  }

  struct DelayedWrite {
    std::int64_t base = 0;
    BudgetRecord record;
  };

  template <typename Change>
  void Rewrite(std::size_t index, WriteOutcome outcome, const Change& change) {
    auto record = record_;
    const auto base = revision_;
    if (!change(record)) {
      return;
    }
    daemons_[index]->WriteStarted(record);
    switch (outcome) {
      case WriteOutcome::kConfirmed:
        Store(record);
        daemons_[index]->WriteDone(record);
        break;
      case WriteOutcome::kAnswerLost:
        Store(record);
        break;
      case WriteOutcome::kNotApplied:
        break;
      case WriteOutcome::kDelayed:
        delayed_write_ = DelayedWrite{base, record};
        break;
    }
  }

  void Store(const BudgetRecord& record) {
    if (record.period_start > record_.period_start) {
      used_ = 0;
      ResetBound();
    }
    record_ = record;
    ++revision_;
  }

  // Sets the bound anew: the tokens used and in flight, or the highest budget
  // that a daemon knows, whichever is more.
  void ResetBound() {
    bound_ = used_;
    for (const auto& it : calls_) {
      bound_ += it.tokens;
    }
    for (const auto& it : known_budgets_) {
      bound_ = std::max(bound_, it);
    }
  }

  std::vector<std::unique_ptr<BudgetAccount>> daemons_;
  std::int64_t budget_;
  std::vector<std::int64_t> known_budgets_;
  std::vector<std::string> run_ids_;  // Of the current run of each daemon.
  std::vector<Lane> lanes_;
  std::map<std::string, std::int64_t> journal_;  // Tokens used, by run.
  std::string closing_run_;
  std::optional<std::int64_t> proved_tokens_;
  int releases_ = 0;
  std::int64_t period_ = 1;
  std::int64_t bound_ = 0;
  std::int64_t used_ = 0;
  std::int64_t revision_ = 0;
  int run_count_ = 0;
  BudgetRecord record_;
  std::optional<DelayedWrite> delayed_write_;
  std::vector<Call> calls_;
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace comfreyfold

#endif  // CONTRACT_PROPERTY_BUDGET_SIMULATION_H_
