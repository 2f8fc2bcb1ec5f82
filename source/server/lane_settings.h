#ifndef SERVER_LANE_SETTINGS_H_
#define SERVER_LANE_SETTINGS_H_

#include <chrono>

namespace comfreyfold {

// How the lanes' journals are kept.
struct LaneSettings {
  // Blocks that all daemons together may write a second; each takes an
  // equal share of it.
  int writes_per_second = 300;
  // Blocks after a snapshot before the next one is due.
  int snapshot_blocks = 256;
  // An ended program is kept this long, so that late retries find it.
  std::chrono::seconds retention{3600};
  // An intent that is not committed by then is refused as not run.
  std::chrono::milliseconds commit_timeout{1500};
  // A non-idempotent call is not dispatched later than this after its
  // intent was sent off: its lane may have a new owner by then.
  std::chrono::milliseconds dispatch_window{3000};
  // A lane whose holders have all left the fleet is taken over this long
  // after, without the blocks that only they had.
  std::chrono::milliseconds holder_patience{30000};
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_SETTINGS_H_
