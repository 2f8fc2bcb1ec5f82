#ifndef SERVER_HOLDER_LINKS_H_
#define SERVER_HOLDER_LINKS_H_

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

// How a lane's owner reaches the daemons that keep its blocks while the
// key-value service is out.
class HolderLinks {
 public:
  virtual ~HolderLinks() = default;

  // The holders that an owner here should name now; empty: too few.
  virtual std::vector<SpoolHolder> Choose(int lane) = 0;
  // True while the holder lives with the spool that was named.
  virtual bool IsThere(const SpoolHolder& holder) = 0;
  // False when its blocks are certainly gone, or the daemon has left the
  // list of members. Throws KvUnavailable.
  virtual bool MayReturn(Fiber& fiber, const SpoolHolder& holder) = 0;

  // kDone: the block is on the holder's disk.
  virtual SpoolStatus Store(Fiber& fiber,
                            const SpoolHolder& holder,
                            int lane,
                            const LaneBlock& block) = 0;
  // Seals the lane against epochs below `epoch`; some of the blocks after
  // `number` that the holder has.
  virtual SealAnswer Seal(Fiber& fiber,
                          const SpoolHolder& holder,
                          int lane,
                          std::int64_t epoch,
                          std::int64_t number) = 0;
  // The blocks up to `number` are known to be in the service.
  virtual SpoolStatus Forget(Fiber& fiber,
                             const SpoolHolder& holder,
                             int lane,
                             std::int64_t number) = 0;
};

}  // namespace comfreyfold

#endif  // SERVER_HOLDER_LINKS_H_
