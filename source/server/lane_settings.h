#ifndef SERVER_LANE_SETTINGS_H_
#define SERVER_LANE_SETTINGS_H_

#include <chrono>

namespace comfreyfold {

// Settings of the lanes and their journals.
struct LaneSettings {
  // Blocks per second that all daemons together may write. The daemons that may
  // own lanes share this rate equally.
  int writes_per_second = 300;
  // Number of blocks after a snapshot before the next snapshot is due.
  int snapshot_blocks = 256;
  // How long an ended program is kept, so that late retries of its calls are
  // still recognized.
  std::chrono::seconds retention{3600};
  // An intent that is not committed within this time is refused as not run.
  std::chrono::milliseconds commit_timeout{1500};
  // A non-idempotent call is not dispatched when this time has passed since its
  // intent was submitted, because its lane may have a new owner by then.
  std::chrono::milliseconds dispatch_window{3000};
  // A lane whose holders are all gone is taken over after this time, without
  // the blocks that only they had.
  std::chrono::milliseconds holder_patience{30000};
};

}  // namespace comfreyfold

#endif  // SERVER_LANE_SETTINGS_H_
