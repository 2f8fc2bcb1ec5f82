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

// Frees the engine memory of ended programs in the lanes owned here, and
// goes on until each engine has confirmed.
class HoldReleaser {
 public:
  HoldReleaser(Loop& loop,
               EngineClient& engines,
               LaneManager& lanes,
               BackendDirectory& directory,
               EventLog& log);

  void Start();

  // Takes note of the holds that `block`, just applied, makes due.
  void OnBlockApplied(const LaneOwner& owner, const LaneBlock& block);

 private:
  using Time = std::chrono::steady_clock::time_point;
  // A hold to be released at one engine.
  struct Due {
    int lane = 0;
    ProgramKey program;
    Time not_before;
    bool released_once = false;
  };
  struct Engine {
    std::deque<Due> due;
    Time not_before;
    std::chrono::milliseconds backoff{};
    Time missing_since;
    bool missing = false;
    bool busy = false;
  };
  enum class Outcome { kReleased, kAgainLater, kNothingHeld };

  void FollowLanes();
  void AddDue(int lane, const ProgramState& program);
  void StartDueEngines();
  void ReleaseAt(Fiber& fiber, const std::string& id);
  std::vector<Due> TakeBatch(Engine& engine);
  Outcome ReleaseHold(Fiber& fiber, const std::string& id, Due& due);
  bool GoneForGood(Engine& engine);
  void Record(Fiber& fiber,
              const std::string& id,
              const std::vector<Due>& released);
  void Back(const std::string& id, const Due& due);

  Loop& loop_;
  EngineClient& engines_;
  LaneManager& lanes_;
  BackendDirectory& directory_;
  EventLog& log_;
  std::map<int, std::weak_ptr<LaneOwner>> followed_;
  std::map<std::string, Engine> by_engine_;
};

}  // namespace comfreyfold

#endif  // SERVER_HOLD_RELEASER_H_
