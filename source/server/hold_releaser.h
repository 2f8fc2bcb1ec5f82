#ifndef SERVER_HOLD_RELEASER_H_
#define SERVER_HOLD_RELEASER_H_

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "backend/engine_client.h"
#include "log/event_log.h"
#include "server/backend_directory.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Releases the engine memory of ended programs in the lanes owned here, and
// repeats the request until each engine has confirmed it.
class HoldReleaser {
 public:
  HoldReleaser(Loop& loop,
               EngineClient& engines,
               LaneManager& lanes,
               BackendDirectory& directory,
               EventLog& log);

  void Start();

  // Enqueues the releases that become necessary with `block`, which has just
  // been applied.
  void OnBlockApplied(const LaneOwner& owner, const LaneBlock& block);

 private:
  using Time = std::chrono::steady_clock::time_point;
  // A hold of one program that is to be released at one engine.
  struct PendingRelease {
    int lane = 0;
    ProgramKey program;
    Time not_before;
    bool released_once = false;
  };
  struct Engine {
    std::deque<PendingRelease> pending;
    Time not_before;
    std::chrono::milliseconds backoff{};
    Time missing_since;
    bool missing = false;
    bool release_running = false;
  };
  enum class ReleaseResult { kReleased, kRetryLater, kNothingHeld };

  void ScanNewLanes();
  void EnqueueReleases(int lane, const ProgramState& program);
  void StartReleases();
  void ReleaseAt(Fiber& fiber, const std::string& id);
  std::vector<PendingRelease> TakeBatch(Engine& engine);
  ReleaseResult ReleaseHold(Fiber& fiber,
                            const std::string& id,
                            PendingRelease& pending);
  // Tracks how long the engine has been missing from the VM list, and returns
  // whether it counts as removed together with its memory.
  bool IsRemoved(Engine& engine);
  void RecordReleases(Fiber& fiber,
                      const std::string& id,
                      const std::vector<PendingRelease>& released);
  void Requeue(const std::string& id, const PendingRelease& pending);

  Loop& loop_;
  EngineClient& engines_;
  LaneManager& lanes_;
  BackendDirectory& directory_;
  EventLog& log_;
  std::map<int, std::weak_ptr<LaneOwner>> scanned_;
  std::map<std::string, Engine> by_engine_;
};

}  // namespace comfreyfold

#endif  // SERVER_HOLD_RELEASER_H_
