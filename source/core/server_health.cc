#include "core/server_health.h"

#include <algorithm>
#include <chrono>

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kFirstSuspension{300};
constexpr std::chrono::milliseconds kMaxSuspension{2000};
constexpr int kFailuresToSuspend = 2;
// Faults of a server in a row, over all daemons, from which on it counts as
// faulty. Answers get around within half a second, so that the faults of a
// server that fails a few requests of a hundred are rarely in a row.
constexpr std::size_t kFaultsInRow = 4;
// Daemons that have to see them: a daemon may be cut off itself.
constexpr std::size_t kFaultedDaemons = 2;
// A faulty server is left alone for the first time and a part of the second.
// The first daemon that tries it tells all others how that went.
constexpr std::chrono::milliseconds kAvoidTime{1000};
constexpr std::chrono::milliseconds kAvoidSpread{6000};
// A server that has begun no answer for this time, on requests to which others
// begin theirs within some 100 ms, is probably dead or cut off.
constexpr std::chrono::milliseconds kSilenceTime{600};

}  // namespace

bool ServerHealth::IsUsable(TimePoint now) const {
  const bool failing = IsFailing();
  const bool suspended = failing && now < suspended_until_;
  const bool avoided = IsFaulty() && now < avoided_until_;
  const bool on_trial = probing_ && (failing || IsFaulty());
  return !suspended && !avoided && !on_trial;
}

bool ServerHealth::RecordSend(TimePoint now, std::mt19937_64& random) {
  unanswered_.insert(now);
  if (!IsFailing() && !IsFaulty()) {
    return false;
  }
  probing_ = true;
  Avoid(now, random);
  return true;
}

void ServerHealth::RecordResponseStart(TimePoint sent_at) {
  EraseUnanswered(sent_at);
  consecutive_failures_ = 0;
  probing_ = false;
}

void ServerHealth::RecordEnd(TimePoint sent_at, bool is_probe) {
  EraseUnanswered(sent_at);
  probing_ = probing_ && !is_probe;
}

void ServerHealth::RecordSuccess() {
  consecutive_failures_ = 0;
  incomplete_answers_ = 0;
}

void ServerHealth::RecordFailure(TimePoint now) {
  ++consecutive_failures_;
  ++incomplete_answers_;
  const auto failures = std::max(consecutive_failures_, incomplete_answers_);
  const auto doubled = kFirstSuspension * (1 << std::min(failures, 4)) / 4;
  suspended_until_ =
      now + std::min<std::chrono::milliseconds>(doubled, kMaxSuspension);
}

bool ServerHealth::RecordAnswer(TimePoint at) {
  answered_at_ = std::max(answered_at_, at);
  if (answered_at_ < faulted_at_) {
    return false;
  }
  const bool was_faulty = IsFaulty();
  faulted_origins_.clear();
  return was_faulty;
}

bool ServerHealth::RecordFault(std::uint64_t origin,
                               TimePoint failed_at,
                               TimePoint now,
                               std::mt19937_64& random) {
  if (failed_at <= answered_at_) {
    return false;
  }
  const bool was_faulty = IsFaulty();
  if (faulted_origins_.size() < 2 * kFaultsInRow) {
    faulted_origins_.push_back(origin);
  }
  faulted_at_ = std::max(faulted_at_, failed_at);
  if (was_faulty || !IsFaulty()) {
    return false;
  }
  Avoid(now, random);
  return true;
}

bool ServerHealth::RecordRestart(TimePoint now) {
  RecordSuccess();
  suspended_until_ = now;
  return RecordAnswer(now);
}

int ServerHealth::TakeSilences(TimePoint now) {
  int out = 0;
  while (!unanswered_.empty() && now - *unanswered_.begin() > kSilenceTime) {
    out += answered_at_ < *unanswered_.begin() ? 1 : 0;
    unanswered_.erase(unanswered_.begin());
  }
  return out;
}

bool ServerHealth::IsFailing() const {
  return std::max(consecutive_failures_, incomplete_answers_) >=
         kFailuresToSuspend;
}

bool ServerHealth::IsFaulty() const {
  return faulted_origins_.size() >= kFaultsInRow &&
         std::set<std::uint64_t>(faulted_origins_.begin(),
                                 faulted_origins_.end())
                 .size() >= kFaultedDaemons;
}

void ServerHealth::Avoid(TimePoint now, std::mt19937_64& random) {
  avoided_until_ =
      now + kAvoidTime +
      std::chrono::milliseconds(
          random() % static_cast<std::uint64_t>(kAvoidSpread.count()));
}

void ServerHealth::EraseUnanswered(TimePoint sent_at) {
  const auto it = unanswered_.find(sent_at);
  if (it != unanswered_.end()) {
    unanswered_.erase(it);
  }
}

}  // namespace comfreyfold
