#ifndef WIRE_SNAPSHOT_CODEC_H_
#define WIRE_SNAPSHOT_CODEC_H_

#include <cstdint>
#include <string>

#include "core/lane_snapshot.h"

namespace comfreyfold {

// Refers to the newest complete snapshot of a lane, which is stored in `parts`
// values of the key-value service.
struct SnapshotHead {
  std::string uid;
  int parts = 0;
  std::int64_t last_block = 0;
  std::int64_t bytes = 0;
};

// Thrift compact encoding of each type. The Decode functions throw WireError.
std::string Encode(const LaneSnapshot& snapshot);
std::string Encode(const SnapshotHead& head);
LaneSnapshot DecodeLaneSnapshot(const std::string& buf);
SnapshotHead DecodeSnapshotHead(const std::string& buf);

}  // namespace comfreyfold

#endif  // WIRE_SNAPSHOT_CODEC_H_
