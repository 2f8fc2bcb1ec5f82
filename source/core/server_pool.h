#ifndef CORE_SERVER_POOL_H_
#define CORE_SERVER_POOL_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/backend_server.h"
#include "core/client_call.h"
#include "core/load_level.h"
#include "core/load_report_table.h"
#include "core/prompt_cache_view.h"
#include "core/request_window.h"
#include "core/shared_parts.h"
#include "core/time_point.h"

namespace comfreyfold {

// How far the program of a request has come.
enum class ProgramStage {
  kStarted,    // Servers have worked for it; so do calls without a program.
  kReturning,  // Turned away before, and back.
  kNew,
};

// A request that needs a place at a server.
struct SlotRequest {
  std::uint64_t ticket = 0;  // Unique in the pool.
  int priority = 0;          // 0 is the most urgent.
  ProgramStage stage = ProgramStage::kStarted;
  TimePoint arrived{};
  TimePoint acquire_by{};  // Serving it later is of no use.
  // When the delay is used up that its program can take and finish in time.
  TimePoint must_start_by = TimePoint::max();
  bool late = false;  // It is used up already.
  std::vector<PromptPart> prompt;
  std::string session;    // Requests of one share much of their prompt.
  std::string cached_at;  // The server that served it last; or empty.
  std::set<std::string> excluded;  // Servers that failed this request.
};

struct AcquiredSlot {
  std::string server_id;
  std::string address;
  std::int64_t uncached_tokens = 0;   // Of the prompt, as far as is known.
  bool in_other_data_centre = false;  // In another data centre.
};

// How an exchange with a server went, for the choice of the next.
enum class ExchangeResult {
  kAnswered,
  kRefused,    // Said that it did not run the request.
  kFailed,     // No connection, or broke off.
  kAbandoned,  // Broken off by the client or the system; says nothing.
};

// The servers of one service as one daemon sees them: which of them gets the
// next request, which requests wait, and which are turned away. Answers
// loads from idle up to beyond the servers' slots, for engines and plain
// services alike. Holds no clock and does no I/O.
class ServerPool {
 public:
  ServerPool(std::string data_centre, bool is_engine);

  // Takes over the servers that are registered now.
  void Update(const std::vector<BackendServer>& servers, TimePoint now);

  // Takes a place if one is free and nobody more urgent waits for it.
  std::optional<AcquiredSlot> TryAcquire(const SlotRequest& ask, TimePoint now);

  // Lets a request wait; Assign gives it a place, or Forget ends the wait.
  void Enqueue(const SlotRequest& ask) { waiting_.push_back(ask); }
  void Cancel(std::uint64_t ticket);
  struct Assignment {
    std::uint64_t ticket = 0;
    AcquiredSlot slot;
  };
  // Gives free places to those that wait, the most urgent first.
  std::vector<Assignment> AssignSlots(TimePoint now);

  // An exchange that began with a place has ended.
  void Release(const std::string& server_id,
               ExchangeResult result,
               const std::optional<ServerLoad>& load,
               std::chrono::milliseconds held,
               TimePoint now);
  // The server's answer began: its load, and how long that took.
  void ObserveResponseStart(const std::string& server_id,
                            const std::optional<ServerLoad>& load,
                            std::chrono::milliseconds first_byte,
                            TimePoint now);

  // A server told another daemon how many requests it has.
  void ObserveLoadReport(const LoadReport& note, TimePoint now);

  // How long a request is likely to wait for a place from now on.
  std::chrono::milliseconds ExpectedWait(const SlotRequest& ask,
                                         TimePoint now) const;
  // Requests at servers for each of their slots, as these told of late.
  double LevelAt(TimePoint now) const { return level_.At(now); }
  bool empty() const { return servers_.empty(); }
  std::size_t waiting() const { return waiting_.size(); }
  int in_use() const;

 private:
  struct Server {
    BackendServer info;
    int mine = 0;         // Requests of this daemon that it has.
    double others = 0;    // Requests of others, as last told.
    TimePoint told_at{};  // When `others` was told.
    TimePoint used_at{};  // When this daemon last sent it a request.
    int failures = 0;     // In a row.
    TimePoint suspended_until{};
    bool probing = false;   // One request tries whether it works again.
    double latency_ms = 0;  // Smoothed time to the first byte.
    PromptCacheView cache;
  };

  bool Usable(const Server& server, TimePoint now) const;
  double Load(const Server& server, TimePoint now) const;
  int Limit(const Server& server) const;
  bool HasRoom(const Server& server, TimePoint now) const;
  std::int64_t LikelyUncached(const Server& server,
                              const SlotRequest& ask,
                              bool is_home) const;
  const Server* Home(const SlotRequest& ask, TimePoint now) const;
  double Cost(const Server& server,
              const SlotRequest& ask,
              bool is_home,
              TimePoint now) const;
  double WaitAt(const Server& server, TimePoint now) const;
  Server* Cheapest(const SlotRequest& ask, TimePoint now);
  AcquiredSlot Acquire(Server& server, const SlotRequest& ask, TimePoint now);
  void Told(Server& server, const ServerLoad& load, TimePoint now);
  bool MayBegin(const SlotRequest& ask, TimePoint now) const;
  bool Crowded(TimePoint now) const;
  double TypicalLatency() const;

  std::string data_centre_;
  bool is_engine_;
  std::map<std::string, Server> servers_;
  SharedParts shared_;  // Of prompts.
  std::list<SlotRequest> waiting_;
  RequestWindow window_;  // Of engines.
  LoadLevel level_;
  double held_ms_ = 0;  // Smoothed time that a place is held.
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_POOL_H_
