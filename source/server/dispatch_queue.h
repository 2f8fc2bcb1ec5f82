#ifndef SERVER_DISPATCH_QUEUE_H_
#define SERVER_DISPATCH_QUEUE_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "core/call_scheduler.h"
#include "core/membership.h"
#include "net/loop.h"
#include "server/backend_directory.h"

namespace comfreyfold {

class DispatchQueue;

// A slot for one call on a backend server. The call counts as in flight there
// for the lifetime of the slot. The slot stores the server's id, because the
// directory may remove the server meanwhile.
class ServerSlot {
 public:
  ServerSlot(DispatchQueue& queue, const Dispatch& dispatch);
  ~ServerSlot();
  ServerSlot(const ServerSlot&) = delete;
  ServerSlot& operator=(const ServerSlot&) = delete;

  const std::string& server() const { return dispatch_.choice.engine; }
  const EngineChoice& choice() const { return dispatch_.choice; }

  // Records that the call ran. `tokens` are in the engine's memory now, and
  // `cached` of them were there before the call.
  void MarkSucceeded(std::int64_t tokens = 0, std::int64_t cached = 0);
  // Records that the server failed the call.
  void MarkFailed();

 private:
  DispatchQueue& queue_;
  Dispatch dispatch_;
  TimePoint started_at_;
  CallOutcome outcome_;
};

// The queue of this daemon's calls for the backend servers of one role. A call
// waits here until the scheduler assigns it to a server.
class DispatchQueue {
 public:
  DispatchQueue(Loop& loop,
                BackendDirectory& directory,
                VmRole role,
                const DecisionSettings& settings,
                const std::string& daemon);

  // Waits for a slot. Throws CallError (not run) when the call is refused or
  // `timeout` passes.
  std::unique_ptr<ServerSlot> Enter(Fiber& fiber,
                                    ScheduledCall call,
                                    std::chrono::milliseconds timeout);

  // Updates the scheduler with the known state of servers and peers, and
  // dispatches the calls that became possible.
  void Refresh(const Membership& membership);

  CallScheduler& scheduler() { return scheduler_; }

 private:
  friend class ServerSlot;
  std::vector<std::string> ServersFor(const ScheduledCall& call);
  void AdjustInFlight(const std::string& server, int change);
  void DispatchReady();

  BackendDirectory& directory_;
  VmRole role_;
  CallScheduler scheduler_;
  Condition changed_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Dispatch> granted_;
};

}  // namespace comfreyfold

#endif  // SERVER_DISPATCH_QUEUE_H_
