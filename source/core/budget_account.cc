#include "core/budget_account.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr std::int64_t kFirstChunkTokens = 1024;
constexpr std::chrono::seconds kBusyInterval{5};

// The unused grant and the reservations of a daemon that dies stay counted as
// spent. The limits, 1/50 and 1/40 of the budget, keep the sum of both below
// 1/20.
constexpr std::int64_t kGrantDivisor = 50;
constexpr std::int64_t kReservedDivisor = 40;
// The budget is scarce once more than half of it is spent or granted: tokens
// that one daemon keeps unused may then be missing at another.
constexpr std::int64_t kScarceDivisor = 2;

}  // namespace

BudgetAccount::BudgetAccount(std::string daemon, std::string run)
    : daemon_(std::move(daemon)),
      run_(std::move(run)),
      chunk_(kFirstChunkTokens) {}

void BudgetAccount::SetTerms(const BudgetTerms& terms) {
  // The grant was made under the higher budget. Neither the rest of the grant
  // nor tokens released by settled calls may be reserved until the record has
  // been rewritten under the lower budget.
  lowered_ = lowered_ || (terms.tokens < terms_.tokens && holds_grant_);
  terms_ = terms;
}

bool BudgetAccount::TryReserve(std::int64_t tokens, TimePoint now) {
  const bool unconfirmed =
      holds_grant_ && unconfirmed_marks_ != marks_at_confirmed_write_;
  if (lowered_ || unconfirmed || tokens > available()) {
    return false;
  }
  last_use_ = now;
  reserved_ += tokens;
  return true;
}

void BudgetAccount::MarkUnconfirmed() {
  ++unconfirmed_marks_;
}

bool BudgetAccount::MustWait(std::int64_t tokens) const {
  return reserved_ > 0 && reserved_ + tokens > terms_.tokens / kReservedDivisor;
}

void BudgetAccount::Settle(std::int64_t reserved, std::int64_t used) {
  reserved_ -= reserved;
  used_ += used;
}

std::int64_t BudgetAccount::NextChunkSize(std::int64_t room,
                                          std::size_t holders,
                                          TimePoint now) {
  // The chunk doubles while refills follow each other quickly, so that the
  // number of writes grows with the logarithm of the tokens used and not with
  // the number of calls.
  const bool busy = now - last_refill_ < kBusyInterval;
  chunk_ = busy ? chunk_ * 2 : std::max(kFirstChunkTokens, chunk_ / 2);
  last_refill_ = now;
  chunk_ = std::min(chunk_,
                    std::max(kFirstChunkTokens, terms_.tokens / kGrantDivisor));
  // Near the end of the budget each holder gets only a part of the remainder,
  // so that the rest stays available to daemons that need it.
  const auto share = room / (2 * static_cast<std::int64_t>(holders));
  return std::min({chunk_, share, terms_.tokens / kGrantDivisor});
}

bool BudgetAccount::Refill(BudgetRecord& record,
                           std::int64_t need,
                           TimePoint now) {
  record.RollOver(terms_.period_start);
  auto* grant = record.Find(run_);
  if (grant == nullptr) {
    record.grants.push_back({daemon_, run_, used_, used_, used_});
    grant = &record.grants.back();
  }
  const auto committed_by_others = record.Committed() - grant->exposure();
  const auto room = terms_.tokens - committed_by_others -
                    (used_ - grant->counted_from) - reserved_;
  if (room < need) {
    return false;
  }
  const auto added =
      std::max(need, NextChunkSize(room, record.grants.size(), now));
  grant->used = used_;
  grant->granted = used_ + reserved_ + added;
  grant->closing = false;
  return true;
}

void BudgetAccount::GiveBack(BudgetRecord& record) {
  record.RollOver(terms_.period_start);
  auto* grant = record.Find(run_);
  if (grant == nullptr) {
    return;
  }
  grant->used = used_;
  grant->granted = used_ + reserved_;
  grant->closing = false;
  if (reserved_ > 0) {
    return;
  }
  record.spent += grant->exposure();
  std::erase_if(record.grants,
                [this](const BudgetGrant& it) { return it.id == run_; });
}

void BudgetAccount::WriteStarted(BudgetRecord& record) {
  const auto* grant = record.Find(run_);
  const auto granted = grant == nullptr ? used_ : grant->granted;
  granted_ = std::min(granted_, granted);
  holds_grant_ = true;
  budget_at_write_ = terms_.tokens;
  marks_at_newest_write_ = unconfirmed_marks_;
}

void BudgetAccount::WriteDone(BudgetRecord& record) {
  const auto* grant = record.Find(run_);
  granted_ = grant == nullptr ? used_ : grant->granted;
  holds_grant_ = grant != nullptr;
  marks_at_confirmed_write_ = marks_at_newest_write_;
  scarce_ = kScarceDivisor * record.Committed() > terms_.tokens;
  // The contract may have been lowered while the write was in progress.
  lowered_ = holds_grant_ && terms_.tokens < budget_at_write_;
}

bool BudgetAccount::ShouldRefill() const {
  return holds_grant_ && !lowered_ && !scarce_ &&
         available() < std::min(chunk_, terms_.tokens / kGrantDivisor) / 2;
}

bool BudgetAccount::MustGiveBack(TimePoint scarce_idle_cutoff,
                                 TimePoint idle_cutoff) const {
  const auto cutoff = scarce_ ? scarce_idle_cutoff : idle_cutoff;
  return lowered_ || (holds_grant_ && reserved_ == 0 && last_use_ <= cutoff);
}

}  // namespace comfreyfold
