#ifndef SERVER_LANE_JOURNAL_H_
#define SERVER_LANE_JOURNAL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "clients/kv_client.h"
#include "core/lane_state.h"

namespace comfreyfold {

// The state of a lane, with the sizes of the stored data it was read from.
struct LaneReplay {
  LaneState state;
  std::int64_t snapshot_block = 0;  // 0 when there is no snapshot.
  std::int64_t snapshot_bytes = 0;
  std::int64_t block_bytes = 0;  // Total size of blocks after the snapshot.
};

// Reads and writes the keys of one lane in the key-value service: its blocks
// and its newest snapshot. It caches nothing. Every public member function
// throws KvUnavailable.
class LaneJournal {
 public:
  // The largest block, and the largest part of a snapshot, that is written as
  // one value. The service accepts values of this size.
  static constexpr std::size_t kMaxValueBytes = 900 * 1024;

  LaneJournal(KvClient& kv, int lane);

  // Reads the newest complete snapshot and applies the blocks after it.
  LaneReplay Replay(Fiber& fiber);

  // Creates the block if it does not exist and its predecessor does. Returns
  // true when the block is in the journal, whether written by this call or by
  // an earlier one.
  bool TryCommit(Fiber& fiber, const LaneBlock& block);

  std::optional<LaneBlock> Read(Fiber& fiber, std::int64_t number);

  // Makes `snapshot` the lane's newest and deletes the blocks before the last
  // one it covers. Returns false when another owner has saved a newer snapshot.
  // Sets `bytes` to the encoded size of the snapshot.
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
