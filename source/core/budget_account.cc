#include "core/budget_account.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr std::int64_t kFirstChunkTokens = 1024;
constexpr std::chrono::seconds kBusyInterval{5};

// A daemon that dies leaves its unused grant and its reservations counted
// as spent: together these two parts of the budget stay under a twentieth.
constexpr std::int64_t kGrantPart = 50;
constexpr std::int64_t kReservedPart = 40;
// Past a half of the budget, what one daemon keeps another may need.
constexpr std::int64_t kScarcePart = 2;

}  // namespace

BudgetAccount::BudgetAccount(std::string daemon, std::string run)
    : daemon_(std::move(daemon)),
      run_(std::move(run)),
      chunk_(kFirstChunkTokens) {}

void BudgetAccount::SetTerms(const BudgetTerms& terms) {
  // The grant was taken under the higher budget: nothing more is reserved
  // from it, nor from what calls in flight settle, until the record has
  // been rewritten under the lower one.
  lowered_ = lowered_ || (terms.tokens < terms_.tokens && holds_grant_);
  terms_ = terms;
}

bool BudgetAccount::TryReserve(std::int64_t tokens, TimePoint now) {
  const bool doubtful = holds_grant_ && distrusted_ != confirmed_at_;
  if (lowered_ || doubtful || tokens > available()) {
    return false;
  }
  last_use_ = now;
  reserved_ += tokens;
  return true;
}

void BudgetAccount::MarkUnconfirmed() {
  ++distrusted_;
}

bool BudgetAccount::MustWait(std::int64_t tokens) const {
  return reserved_ > 0 && reserved_ + tokens > terms_.tokens / kReservedPart;
}

void BudgetAccount::Settle(std::int64_t reserved, std::int64_t used) {
  reserved_ -= reserved;
  used_ += used;
}

std::int64_t BudgetAccount::NextChunk(std::int64_t room,
                                      std::size_t holders,
                                      TimePoint now) {
  // Grants double while they are used up quickly, so that the number of
  // writes grows with the logarithm of the use, not with the calls.
  const bool busy = now - last_refill_ < kBusyInterval;
  chunk_ = busy ? chunk_ * 2 : std::max(kFirstChunkTokens, chunk_ / 2);
  last_refill_ = now;
  chunk_ =
      std::min(chunk_, std::max(kFirstChunkTokens, terms_.tokens / kGrantPart));
  // Near the end every holder takes a part only, so that the rest is not
  // bound where it is not needed.
  const auto share = room / (2 * static_cast<std::int64_t>(holders));
  return std::min({chunk_, share, terms_.tokens / kGrantPart});
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
  const auto others = record.Committed() - grant->exposure();
  const auto room =
      terms_.tokens - others - (used_ - grant->counted_from) - reserved_;
  if (room < need) {
    return false;
  }
  const auto more = std::max(need, NextChunk(room, record.grants.size(), now));
  grant->used = used_;
  grant->granted = used_ + reserved_ + more;
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
  written_under_ = terms_.tokens;
  writing_at_ = distrusted_;
}

void BudgetAccount::WriteDone(BudgetRecord& record) {
  const auto* grant = record.Find(run_);
  granted_ = grant == nullptr ? used_ : grant->granted;
  holds_grant_ = grant != nullptr;
  confirmed_at_ = writing_at_;
  scarce_ = kScarcePart * record.Committed() > terms_.tokens;
  // The contract may have been lowered while the answer was on its way.
  lowered_ = holds_grant_ && terms_.tokens < written_under_;
}

bool BudgetAccount::ShouldRefill() const {
  return holds_grant_ && !lowered_ && !scarce_ &&
         available() < std::min(chunk_, terms_.tokens / kGrantPart) / 2;
}

bool BudgetAccount::MustGiveBack(TimePoint idle_since,
                                 TimePoint forgotten_since) const {
  const auto due = scarce_ ? idle_since : forgotten_since;
  return lowered_ || (holds_grant_ && reserved_ == 0 && last_use_ <= due);
}

}  // namespace comfreyfold
