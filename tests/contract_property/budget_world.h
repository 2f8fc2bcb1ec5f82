#ifndef CONTRACT_PROPERTY_BUDGET_WORLD_H_
#define CONTRACT_PROPERTY_BUDGET_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <map>
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
    std::size_t lane = 0;
    std::int64_t epoch = 0;  // Of the lane when it was begun.
    std::string run;
  };

  // What becomes of a write to the service.
  enum class Fate { kDone, kLostAnswer, kNever, kLate };

  BudgetWorld(std::size_t daemons, std::int64_t budget)
      : daemons_(daemons), budget_(budget), seen_(daemons), names_(daemons) {
    for (std::size_t i = 0; i < daemons; ++i) {
      Restart(i);
      lanes_.push_back({static_cast<int>(i), 1});
    }
  }

  // The daemon at `index` starts anew, with nothing but its settings.
  void Restart(std::size_t index) {
    names_[index] = "run-" + std::to_string(++runs_);
    daemons_[index] = std::make_unique<BudgetAccount>(
        "d" + std::to_string(index), names_[index]);
    LearnContract(index);
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
    const auto lane = LaneOwnedBy(index);
    if (!lane) {
      return true;  // Forwarded to an owner: neither run nor refused here.
    }
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
    if (account.ShouldRefill()) {
      Rewrite(index, fate, [&](BudgetRecord& record) {
        return account.Refill(record, 0, now_);
      });
    }
    calls_.push_back(
        {index, tokens, false, *lane, lanes_[*lane].epoch, names_[index]});
    journal_[names_[index]] += tokens;
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
      // The outcome is committed only by an owner that still has the lane.
      if (lanes_[call.lane].epoch == call.epoch) {
        journal_[call.run] += used - call.tokens;
      }
    }
  }

  // A daemon takes a lane, be its owner dead or only held for dead.
  void TakeLane(std::size_t lane, std::size_t index) {
    auto& it = lanes_[lane % lanes_.size()];
    it.owner = static_cast<int>(index);
    ++it.epoch;
    daemons_[index]->MarkUnconfirmed();
  }

  // One holder, dead or not, is held for dead.
  void MarkClosing(std::size_t which) {
    if (!record_.grants.empty()) {
      auto record = record_;
      auto& grant = record.grants[which % record.grants.size()];
      grant.closing = true;
      closing_ = grant.id;
      proof_.reset();
      Store(record);
    }
  }

  // The owners of all lanes tell what the journals prove of its grant.
  void ProveClosing() {
    const bool unowned =
        std::any_of(lanes_.begin(), lanes_.end(), [this](const Lane& it) {
          return it.owner < 0 ||
                 names_[static_cast<std::size_t>(it.owner)] == closing_;
        });
    if (!unowned) {
      proof_ = journal_[closing_];
    }
  }

  void ReleaseClosing() {
    auto record = record_;
    if (proof_ && record.CloseGrant(closing_, *proof_)) {
      ++releases_;
      Store(record);
    }
    proof_.reset();
  }
  int releases() const { return releases_; }

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
  struct Lane {
    int owner = 0;  // -1: its owner died.
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
  std::vector<std::string> names_;  // Of each daemon's run.
  std::vector<Lane> lanes_;
  std::map<std::string, std::int64_t> journal_;  // Sum of each run's grant.
  std::string closing_;
  std::optional<std::int64_t> proof_;
  int releases_ = 0;
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
