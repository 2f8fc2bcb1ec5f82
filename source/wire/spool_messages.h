#ifndef WIRE_SPOOL_MESSAGES_H_
#define WIRE_SPOOL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

enum class SpoolStatus {
  kDone = 0,
  kSealed = 1,      // A later owner sealed the lane against this epoch.
  kOtherSpool = 2,  // The holder's spool is not the one in the request.
  kNoAnswer = 3,    // Whether the request took effect is unknown.
};
inline constexpr SpoolStatus kLastSpoolStatus = SpoolStatus::kNoAnswer;

// A request to a daemon that holds blocks of a lane: to store `block`, to seal
// the lane against epochs below `epoch` and return the blocks after `number`,
// or to forget the blocks up to `number`.
struct SpoolRequest {
  std::string spool;
  int lane = 0;
  std::int64_t epoch = 0;
  std::int64_t number = 0;
  std::string block;  // Encoded LaneBlock.
};

struct SpoolAnswer {
  SpoolStatus status = SpoolStatus::kDone;
  std::vector<std::string> blocks;  // Encoded LaneBlocks, in order of number.
};

}  // namespace comfreyfold

#endif  // WIRE_SPOOL_MESSAGES_H_
