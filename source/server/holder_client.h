#ifndef SERVER_HOLDER_CLIENT_H_
#define SERVER_HOLDER_CLIENT_H_

#include <cstdint>
#include <vector>

#include "core/lane_entry.h"
#include "net/loop.h"
#include "wire/spool_messages.h"

namespace comfreyfold {

struct SealAnswer {
  SpoolStatus status = SpoolStatus::kNoAnswer;
  std::vector<LaneBlock> blocks;  // By number.
};

// The interface through which the owner of a lane reaches its holders: the
// daemons that store its blocks while the key-value service is unavailable.
class HolderClient {
 public:
  virtual ~HolderClient() = default;

  // Chooses the holders for a lane owned by this daemon; empty when there are
  // too few candidates.
  virtual std::vector<SpoolHolder> Choose(int lane) = 0;
  // True while the holder is live, is not draining and still has that spool.
  virtual bool IsAvailable(const SpoolHolder& holder) = 0;
  // False when the holder's blocks are certainly lost, or its daemon is no
  // longer in the list of members. Throws KvUnavailable.
  virtual bool MayReturn(Fiber& fiber, const SpoolHolder& holder) = 0;

  // Stores the block at the holder. kDone means that it is on the holder's
  // disk.
  virtual SpoolStatus Store(Fiber& fiber,
                            const SpoolHolder& holder,
                            int lane,
                            const LaneBlock& block) = 0;
  // Makes the holder refuse blocks of epochs below `epoch` from now on. Returns
  // the first of the blocks after `number` that the holder has, as many as fit
  // into one answer.
  virtual SealAnswer Seal(Fiber& fiber,
                          const SpoolHolder& holder,
                          int lane,
                          std::int64_t epoch,
                          std::int64_t number) = 0;
  // Tells the holder that the blocks up to `number` are in the service, so that
  // it deletes them.
  virtual SpoolStatus Forget(Fiber& fiber,
                             const SpoolHolder& holder,
                             int lane,
                             std::int64_t number) = 0;
};

}  // namespace comfreyfold

#endif  // SERVER_HOLDER_CLIENT_H_
