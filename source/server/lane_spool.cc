#include "server/lane_spool.h"

#include <algorithm>
#include <string>

namespace comfreyfold {

bool LaneSpool::Commit(Fiber& fiber,
                       const std::vector<SpoolHolder>& holders,
                       const LaneBlock& block) {
  // A daemon that takes the lane over must find ownership entries in the
  // service itself.
  if (holder_client_ == nullptr || holders.size() < kHoldersOfLane ||
      DecideOwnership(block.entries)) {
    return false;
  }
  for (const auto& it : holders) {
    const auto status = holder_client_->Store(fiber, it, lane_, block);
    // Set for every block: an upload may have cleared it during the call.
    forget_pending_ = true;
    if (status != SpoolStatus::kDone) {
      return false;
    }
  }
  awaiting_upload_.push_back(block);
  return true;
}

bool LaneSpool::UploadFirst(Fiber& fiber) {
  if (!journal_.TryCommit(fiber, awaiting_upload_.front())) {
    return false;
  }
  awaiting_upload_.pop_front();
  return true;
}

bool LaneSpool::AllHoldersGone(Fiber& fiber,
                               const std::vector<SpoolHolder>& holders) {
  return std::none_of(holders.begin(), holders.end(),
                      [&](const SpoolHolder& it) {
                        return holder_client_->MayReturn(fiber, it);
                      });
}

SpoolHolder LaneSpool::SealAnyHolder(Fiber& fiber, const LaneState& state) {
  for (const auto& it : state.holders()) {
    const auto answer = holder_client_->Seal(
        fiber, it, lane_, state.epoch() + 1, state.last_block());
    if (answer.status == SpoolStatus::kDone) {
      return it;
    }
    if (answer.status == SpoolStatus::kSealed) {
      throw HoldersSealed("lane " + std::to_string(lane_) +
                          " is being taken over by another daemon");
    }
  }
  const bool all_gone = AllHoldersGone(fiber, state.holders());
  throw HoldersUnreachable(
      "no holder of lane " + std::to_string(lane_) +
          (all_gone ? " is left in the fleet"
                    : " answers; a holder may have the newest blocks"),
      all_gone);
}

int LaneSpool::Recover(Fiber& fiber,
                       LaneState& state,
                       const std::function<void(const LaneBlock&)>& apply) {
  if (holder_client_ == nullptr || state.holders().empty()) {
    return 0;
  }
  const auto sealed = SealAnyHolder(fiber, state);
  const auto epoch = state.epoch();
  int out = 0;
  while (true) {
    // The size of one answer is limited, so the holder is asked again until it
    // returns no further blocks.
    const auto answer = holder_client_->Seal(fiber, sealed, lane_, epoch + 1,
                                             state.last_block());
    if (answer.status != SpoolStatus::kDone) {
      throw HoldersUnreachable(
          "the holder of lane " + std::to_string(lane_) + " stopped answering",
          false);
    }
    const auto before = out;
    for (const auto& it : answer.blocks) {
      // A block that leaves a gap, or that belongs to an owner before the last
      // one in the journal, was never committed.
      if (it.number != state.last_block() + 1 || it.epoch < epoch) {
        break;
      }
      // The seal does not stop an owner that took the lane over in between.
      if (it.epoch > epoch || !journal_.TryCommit(fiber, it)) {
        throw HoldersSealed("lane " + std::to_string(lane_) +
                            " was continued by another daemon");
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
    if (holder_client_ != nullptr) {
      out = holder_client_->Forget(fiber, it, lane_, number) !=
                SpoolStatus::kNoAnswer &&
            out;
    }
  }
  return out;
}

}  // namespace comfreyfold
