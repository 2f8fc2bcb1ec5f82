#ifndef CORE_LANE_SNAPSHOT_H_
#define CORE_LANE_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/grant_use.h"
#include "core/program_state.h"
#include "core/spool_holder.h"

namespace comfreyfold {

// The state of a lane after its blocks up to `last_block`.
struct LaneSnapshot {
  std::int64_t last_block = 0;
  std::int64_t epoch = 0;
  std::string owner;
  std::vector<ProgramState> programs;
  std::vector<GrantTotal> grants;
  std::vector<SpoolHolder> holders;

  bool operator==(const LaneSnapshot&) const = default;
};

}  // namespace comfreyfold

#endif  // CORE_LANE_SNAPSHOT_H_
