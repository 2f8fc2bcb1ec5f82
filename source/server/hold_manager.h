#ifndef SERVER_HOLD_MANAGER_H_
#define SERVER_HOLD_MANAGER_H_

#include <map>
#include <string>

#include "backend/engine_client.h"
#include "core/hold_policy.h"
#include "log/event_log.h"
#include "server/call_context.h"
#include "server/dispatch_queue.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Carries out what becomes of engine memory while a program pauses between
// two model turns: left where it is, copied out too, or dropped.
class HoldManager {
 public:
  HoldManager(Loop& loop,
              EngineClient& engines,
              BackendDirectory& directory,
              DispatchQueue& queue,
              LaneManager& lanes,
              EventLog& log,
              const DecisionSettings& settings);

  // A model turn ended on `engine`, which holds `tokens` now.
  void TurnEnded(const CallContext& context,
                 const std::string& engine,
                 std::int64_t tokens);
  // The program calls a tool before its next turn.
  void PauseBegins(const CallContext& context);
  // The next turn is here: learns from the pause. Returns the tokens that an
  // import can bring to any engine.
  std::int64_t PauseEnds(const CallContext& context);
  // Brings to `slot`'s engine what it lacks, and frees the copy that the
  // program has left on another. Returns the tokens imported.
  std::int64_t BeforeTurn(Fiber& fiber,
                          const CallContext& context,
                          const ServerSlot& slot);

  // Forgets programs that have ended or moved to another owner.
  void Prune();

 private:
  struct Hold {
    std::string engine;
    std::string tool;  // Of the pause; empty: none was called.
    std::int64_t tokens = 0;
    TimePoint paused;
    std::string exported;  // The copy, as the engine gave it.
    std::int64_t exported_tokens = 0;
  };
  void Export(const ProgramKey& program, const Hold& hold);
  void Drop(const ProgramKey& program, const std::string& engine);
  void Keep(const ProgramKey& program, std::string copy, std::int64_t tokens);
  HoldAction Decide(const ProgramKey& program, const Hold& hold) const;

  Loop& loop_;
  EngineClient& engines_;
  BackendDirectory& directory_;
  DispatchQueue& queue_;
  LaneManager& lanes_;
  EventLog& log_;
  const DecisionSettings& settings_;
  HoldPolicy policy_;
  std::map<ProgramKey, Hold> holds_;
  std::int64_t exported_bytes_ = 0;
};

}  // namespace comfreyfold

#endif  // SERVER_HOLD_MANAGER_H_
