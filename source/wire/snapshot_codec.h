#ifndef WIRE_SNAPSHOT_CODEC_H_
#define WIRE_SNAPSHOT_CODEC_H_

#include <cstdint>
#include <string>

#include "core/lane_snapshot.h"

namespace comfreyfold {

// Names the newest whole snapshot of a lane and the parts it is in.
struct SnapshotHead {
  std::string uid;
  int parts = 0;
  std::int64_t last_block = 0;
  std::int64_t bytes = 0;
};

// Thrift compact encoding of each type; Decode throws WireError.
std::string Encode(const LaneSnapshot& snapshot);
std::string Encode(const SnapshotHead& head);
LaneSnapshot DecodeLaneSnapshot(const std::string& buf);
SnapshotHead DecodeSnapshotHead(const std::string& buf);

}  // namespace comfreyfold

#endif  // WIRE_SNAPSHOT_CODEC_H_
