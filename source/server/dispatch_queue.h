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

// A call's place on a backend server, counted there for as long as it
// lives. Holds the id: the directory may drop the server meanwhile.
class ServerSlot {
 public:
  ServerSlot(DispatchQueue& queue, const Dispatch& dispatch);
  ~ServerSlot();
  ServerSlot(const ServerSlot&) = delete;
  ServerSlot& operator=(const ServerSlot&) = delete;

  const std::string& server() const { return dispatch_.choice.engine; }
  const EngineChoice& choice() const { return dispatch_.choice; }

  // The call ran: `tokens` are in the engine's memory, `cached` were before.
  void Ran(std::int64_t tokens = 0, std::int64_t cached = 0);
  // The server failed the call.
  void Failed();

 private:
  DispatchQueue& queue_;
  Dispatch dispatch_;
  TimePoint began_;
  CallOutcome outcome_;
};

// The calls of this daemon that need a backend server of one role: each
// waits here until the scheduler sends it to one.
class DispatchQueue {
 public:
  DispatchQueue(Loop& loop,
                BackendDirectory& directory,
                VmRole role,
                const DecisionSettings& settings,
                const std::string& daemon);

  // Waits for a place. Throws CallError (not run) when the call is refused
  // or `timeout` passes.
  std::unique_ptr<ServerSlot> Enter(Fiber& fiber,
                                    ScheduledCall call,
                                    std::chrono::milliseconds timeout);

  // Takes in what is known of servers and peers, and dispatches.
  void Refresh(const Membership& membership);

  CallScheduler& scheduler() { return scheduler_; }

 private:
  friend class ServerSlot;
  std::vector<std::string> ServersFor(const ScheduledCall& call);
  void Count(const std::string& server, int change);
  void Pump();

  BackendDirectory& directory_;
  VmRole role_;
  CallScheduler scheduler_;
  Condition changed_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Dispatch> granted_;
};

}  // namespace comfreyfold

#endif  // SERVER_DISPATCH_QUEUE_H_
