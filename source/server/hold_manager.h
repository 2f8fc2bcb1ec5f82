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

// Manages the engine memory (KV cache) that programs hold while they pause
// between two model turns. HoldPolicy decides whether a hold is kept, exported
// as a copy, or dropped; this class carries the decision out.
class HoldManager {
 public:
  HoldManager(Loop& loop,
              EngineClient& engines,
              BackendDirectory& directory,
              DispatchQueue& queue,
              LaneManager& lanes,
              EventLog& log,
              const DecisionSettings& settings);

  // Records that a model turn ended on `engine`, which holds `tokens` now.
  void OnTurnEnded(const CallContext& context,
                   const std::string& engine,
                   std::int64_t tokens);
  // Called when the program calls a tool. The first tool call after a model
  // turn decides what happens to the hold.
  void OnPauseStarted(const CallContext& context);
  // Called when the next model turn arrives. Reports the length of the pause to
  // the policy. Returns the number of tokens that any engine can import.
  std::int64_t OnPauseEnded(const CallContext& context);
  // Imports the exported copy into `slot`'s engine, and drops the hold that the
  // program has left on another engine. Returns the number of tokens imported.
  std::int64_t PrepareEngine(Fiber& fiber,
                             const CallContext& context,
                             const ServerSlot& slot);

  // Removes programs that have ended or whose lane is no longer owned here.
  void Prune();

 private:
  struct Hold {
    std::string engine;
    std::string tool;  // The first tool called in the pause; may be empty.
    std::int64_t tokens = 0;
    TimePoint paused_at;
    std::string exported;  // The copy, in the engine's format.
    std::int64_t exported_tokens = 0;
  };
  void ExportHold(const ProgramKey& program, const Hold& hold);
  void DropHold(const ProgramKey& program, const std::string& engine);
  void StoreCopy(const ProgramKey& program,
                 std::string copy,
                 std::int64_t tokens);
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
