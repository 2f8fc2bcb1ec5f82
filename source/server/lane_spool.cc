#include "server/lane_spool.h"

#include <algorithm>
#include <string>

namespace comfreyfold {

bool LaneSpool::Commit(Fiber& fiber,
                       const std::vector<SpoolHolder>& holders,
                       const LaneBlock& block) {
  // A daemon that takes over must find those in the service itself.
  if (links_ == nullptr || holders.size() < kHoldersPerLane ||
      HasOwnershipChange(block.entries)) {
    return false;
  }
  for (const auto& it : holders) {
    const auto status = links_->Store(fiber, it, lane_, block);
    to_forget_ = true;  // Also when an upload ended meanwhile.
    if (status != SpoolStatus::kDone) {
      return false;
    }
  }
  waiting_.push_back(block);
  return true;
}

bool LaneSpool::UploadFirst(Fiber& fiber) {
  if (!journal_.TryCommit(fiber, waiting_.front())) {
    return false;
  }
  waiting_.pop_front();
  return true;
}

bool LaneSpool::AllGone(Fiber& fiber, const std::vector<SpoolHolder>& holders) {
  return std::none_of(
      holders.begin(), holders.end(),
      [&](const SpoolHolder& it) { return links_->MayReturn(fiber, it); });
}

SpoolHolder LaneSpool::SealOne(Fiber& fiber, const LaneState& state) {
  for (const auto& it : state.holders()) {
    const auto answer =
        links_->Seal(fiber, it, lane_, state.epoch() + 1, state.last_block());
    if (answer.status == SpoolStatus::kDone) {
      return it;
    }
    if (answer.status == SpoolStatus::kSealed) {
      throw HoldersSealed("lane " + std::to_string(lane_) +
                          " is being taken over by another daemon");
    }
  }
  const bool all_gone = AllGone(fiber, state.holders());
  throw HoldersUnreachable(
      "no holder of lane " + std::to_string(lane_) +
          (all_gone ? " is left" : " answers; it may have the newest blocks"),
      all_gone);
}

int LaneSpool::Recover(Fiber& fiber,
                       LaneState& state,
                       const std::function<void(const LaneBlock&)>& apply) {
  if (links_ == nullptr || state.holders().empty()) {
    return 0;
  }
  const auto sealed = SealOne(fiber, state);
  const auto epoch = state.epoch();
  int out = 0;
  while (true) {
    // Asked again until nothing follows: an answer holds only so many bytes.
    const auto answer =
        links_->Seal(fiber, sealed, lane_, epoch + 1, state.last_block());
    if (answer.status != SpoolStatus::kDone) {
      throw HoldersUnreachable(
          "the holder of lane " + std::to_string(lane_) + " broke off", false);
    }
    const auto before = out;
    for (const auto& it : answer.blocks) {
      // What does not follow, or is of an owner before the chain's, was
      // never committed.
      if (it.number != state.last_block() + 1 || it.epoch < epoch) {
        break;
      }
      // The seal does not bind an owner that came in between.
      if (it.epoch > epoch || !journal_.TryCommit(fiber, it)) {
        throw HoldersSealed("lane " + std::to_string(lane_) +
                            " went on at another daemon");
      }
      apply(it);
      ++out;
    }
    if (out == before) {
      return out;
    }
  }
}

bool LaneSpool::Forget(Fiber& fiber,
                       const std::vector<SpoolHolder>& holders,
                       std::int64_t number) {
  bool out = true;
  for (const auto& it : holders) {
    if (links_ != nullptr) {
      out =
          links_->Forget(fiber, it, lane_, number) != SpoolStatus::kNoAnswer &&
          out;
    }
  }
  return out;
}

}  // namespace comfreyfold
