#ifndef SERVER_LANE_JOURNAL_H_
#define SERVER_LANE_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "clients/kv_client.h"
#include "core/lane_state.h"

namespace comfreyfold {

// A lane's state with the size of what it was read from.
struct LaneReplay {
  LaneState state;
  std::int64_t snapshot_block = 0;  // 0: there is no snapshot.
  std::int64_t snapshot_bytes = 0;
  std::int64_t block_bytes = 0;  // Of the blocks after the snapshot.
};

// The keys of one lane in the key-value service: its blocks and its newest
// snapshot. Holds no state of its own. Every function throws KvUnavailable.
class LaneJournal {
 public:
  // Longest block, and longest part of a snapshot, that the service takes.
  static constexpr std::size_t kMostValueBytes = 900 * 1024;

  LaneJournal(KvClient& kv, int lane);

  // The newest whole snapshot and the blocks after it.
  LaneReplay Replay(Fiber& fiber);

  // Creates the block if it is absent and its predecessor is there. True
  // when it is in the journal, by this try or an earlier one.
  bool TryCommit(Fiber& fiber, const LaneBlock& block);

  std::optional<LaneBlock> Read(Fiber& fiber, std::int64_t number);

  // Makes `snapshot` the lane's newest and trims the blocks before its last.
  // False when another owner was quicker. Returns its size in `bytes`.
  bool SaveSnapshot(Fiber& fiber,
                    const LaneSnapshot& snapshot,
                    std::int64_t& bytes);

 private:
  std::string BlockKey(std::int64_t number) const;
  std::string HeadKey() const;
  std::string PartKey(const std::string& uid, int part) const;
  std::optional<LaneReplay> TryReplay(Fiber& fiber);
  bool ReadSnapshot(Fiber& fiber, LaneReplay& out);
  bool ReadBlocks(Fiber& fiber, LaneReplay& out);

  KvClient& kv_;
  std::string prefix_;
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_JOURNAL_H_
