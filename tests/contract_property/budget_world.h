#ifndef CONTRACT_PROPERTY_BUDGET_WORLD_H_
#define CONTRACT_PROPERTY_BUDGET_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/budget_account.h"

namespace comfreyfold {

// Several daemons' accounts of one budget over one stored record, with the
// faults of the service and of the daemons, and beside it the naive truth:
// one counter of what the engines really used.
class BudgetWorld {
 public:
  using TimePoint = BudgetAccount::TimePoint;

  struct Call {
    std::size_t daemon = 0;
    std::int64_t tokens = 0;
    bool orphan = false;  // Its daemon died; the engine goes on.
  };

  // What becomes of a write to the service.
  enum class Fate { kDone, kLostAnswer, kNever, kLate };

  BudgetWorld(std::size_t daemons, std::int64_t budget)
      : daemons_(daemons), budget_(budget), seen_(daemons) {
    for (std::size_t i = 0; i < daemons; ++i) {
      Restart(i);
    }
  }

  // The daemon at `index` starts anew, with nothing but its settings.
  void Restart(std::size_t index) {
    daemons_[index] = std::make_unique<BudgetAccount>(
        "d" + std::to_string(index), "run-" + std::to_string(++runs_));
    LearnContract(index);
  }

  void Kill(std::size_t index) {
    for (auto& it : calls_) {
      it.orphan = it.orphan || it.daemon == index;
    }
    Restart(index);
  }

  // The contract and the clock reach each daemon when they do.
  void LearnContract(std::size_t index) {
    seen_[index] = budget_;
    bound_ = std::max(bound_, budget_);
    daemons_[index]->SetTerms({budget_, std::chrono::seconds(period_)});
    if (std::all_of(seen_.begin(), seen_.end(),
                    [this](std::int64_t it) { return it == budget_; })) {
      SettleBound();
    }
  }
  void SetBudget(std::int64_t budget) { budget_ = budget; }
  void NextPeriod() { ++period_; }

  // A call of at most `tokens`; false when it is refused as budget spent.
  bool Begin(std::size_t index, std::int64_t tokens, Fate fate) {
    auto& account = *daemons_[index];
    now_ += std::chrono::milliseconds(10);
    if (account.MustWait(tokens)) {
      return true;  // Waits in line: neither run nor refused.
    }
    if (!account.TryReserve(tokens, now_)) {
      bool granted = false;
      Rewrite(index, fate, [&](BudgetRecord& record) {
        granted = account.Refill(record, tokens, now_);
        return granted;
      });
      if (!account.TryReserve(tokens, now_)) {
        return granted;
      }
    }
    calls_.push_back({index, tokens, false});
    return true;
  }

  // A call in flight ends; the engine used `part` 16ths of its most.
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
    }
  }

  void GiveBack(std::size_t index, Fate fate) {
    Rewrite(index, fate, [&](BudgetRecord& record) {
      daemons_[index]->GiveBack(record);
      return true;
    });
  }

  // A write sent earlier takes effect now, if nothing came between.
  void Deliver() {
    if (late_ && late_->base == revision_) {
      Store(late_->record);
    }
    late_.reset();
  }

  // Tokens used in the period, and the most that was ever allowed in it.
  std::int64_t used() const { return used_; }
  std::int64_t bound() const { return bound_; }
  std::int64_t writes() const { return revision_; }
  std::size_t in_flight() const { return calls_.size(); }
  const BudgetRecord& record() const { return record_; }

 private:
  struct Late {
    std::int64_t base = 0;
    BudgetRecord record;
  };

  template <typename Change>
  void Rewrite(std::size_t index, Fate fate, const Change& change) {
    auto record = record_;
    const auto base = revision_;
    if (!change(record)) {
      return;
    }
    daemons_[index]->WriteStarted(record);
    switch (fate) {
      case Fate::kDone:
        Store(record);
        daemons_[index]->WriteDone(record);
        break;
      case Fate::kLostAnswer:
        Store(record);
        break;
      case Fate::kNever:
        break;
      case Fate::kLate:
        late_ = Late{base, record};
        break;
    }
  }

  void Store(const BudgetRecord& record) {
    if (record.period_start > record_.period_start) {
      used_ = 0;
      SettleBound();
    }
    record_ = record;
    ++revision_;
  }

  // From here on the budget binds, and what is in flight already.
  void SettleBound() {
    bound_ = used_;
    for (const auto& it : calls_) {
      bound_ += it.tokens;
    }
    for (const auto& it : seen_) {
      bound_ = std::max(bound_, it);
    }
  }

  std::vector<std::unique_ptr<BudgetAccount>> daemons_;
  std::int64_t budget_;
  std::vector<std::int64_t> seen_;
  std::int64_t period_ = 1;
  std::int64_t bound_ = 0;
  std::int64_t used_ = 0;
  std::int64_t revision_ = 0;
  int runs_ = 0;
  BudgetRecord record_;
  std::optional<Late> late_;
  std::vector<Call> calls_;
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace comfreyfold

#endif  // CONTRACT_PROPERTY_BUDGET_WORLD_H_
