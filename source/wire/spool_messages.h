#ifndef WIRE_SPOOL_MESSAGES_H_
#define WIRE_SPOOL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

enum class SpoolStatus {
  kDone = 0,
  kSealed = 1,      // Against the epoch of the request, by a later owner.
  kOtherSpool = 2,  // The folder is not the one asked for.
  kNoAnswer = 3,    // Nothing is known of what became of the request.
};
inline constexpr SpoolStatus kLastSpoolStatus = SpoolStatus::kNoAnswer;

// What is asked of a lane's holder.
struct SpoolRequest {
  std::string spool;
  int lane = 0;
  std::int64_t epoch = 0;
  std::int64_t number = 0;
  std::string block;  // Encoded.
};

struct SpoolAnswer {
  SpoolStatus status = SpoolStatus::kDone;
  std::vector<std::string> blocks;  // Encoded, by number.
};

}  // namespace comfreyfold

#endif  // WIRE_SPOOL_MESSAGES_H_
