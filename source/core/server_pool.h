#ifndef CORE_SERVER_POOL_H_
#define CORE_SERVER_POOL_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/backend_server.h"
#include "core/client_call.h"
#include "core/load_level.h"
#include "core/load_report_table.h"
#include "core/permit_wallet.h"
#include "core/prompt_cache_view.h"
#include "core/request_window.h"
#include "core/server_fault_table.h"
#include "core/server_health.h"
#include "core/shared_prompt_parts.h"
#include "core/slot_request.h"
#include "core/time_point.h"

namespace comfreyfold {

// A slot that a request holds at a server.
struct AcquiredSlot {
  std::string server_id;
  std::string address;
  std::int64_t uncached_tokens = 0;  // Estimate of the prompt's uncached part.
  bool in_other_data_centre = false;
  TimePoint acquired_at{};
  bool is_probe = false;  // Tests a server that has failed.
  std::chrono::milliseconds server_started{0};  // Since the Unix epoch.
  std::string server_version;                   // Of its software.
};

// The outcome of an exchange with a server.
enum class ExchangeResult {
  kAnswered,
  kRefused,    // The server said that it did not run the request.
  kFailed,     // The connection could not be opened or broke.
  kStalled,    // The client or its time limit ended it after the server had not
               // got on with the answer for long.
  kAbandoned,  // The client or this daemon ended it, so that it says nothing
               // about the server.
};

// The servers of one service as one daemon sees them. Assigns requests to
// servers, keeps the requests that wait for a slot, and tells which requests
// cannot be served in time. Used for engines and for plain services, at any
// load. The caller passes the time; the class does no I/O.
class ServerPool {
 public:
  // `seed` spreads the trials of faulty servers over the daemons. `permits` are
  // those for servers with a limit; null: limits are not heeded.
  ServerPool(std::string data_centre,
             bool is_engine,
             std::uint64_t seed = 0,
             PermitWallet* permits = nullptr);

  // Replaces the set of registered servers.
  void Update(const std::vector<BackendServer>& servers, TimePoint now);

  // Acquires a slot when one is free and no request that goes first waits.
  std::optional<AcquiredSlot> TryAcquire(const SlotRequest& request,
                                         TimePoint now);

  // Queues a request until AssignSlots gives it a slot or Cancel removes it.
  void Enqueue(const SlotRequest& request) { waiting_.push_back(request); }
  void Cancel(std::uint64_t ticket);
  struct Assignment {
    std::uint64_t ticket = 0;
    AcquiredSlot slot;
  };
  // Assigns free slots to waiting requests, the most urgent first.
  std::vector<Assignment> AssignSlots(TimePoint now);

  // Tells the wallet which permits the requests of this daemon need.
  void UpdateWantedPermits(TimePoint now);

  // Returns an acquired slot at the end of its exchange.
  void Release(const AcquiredSlot& slot,
               ExchangeResult result,
               const std::optional<ServerLoad>& load,
               std::chrono::milliseconds held,
               TimePoint now);
  // Records the load that a response carried and its time to first byte.
  void ObserveResponseStart(const AcquiredSlot& slot,
                            const std::optional<ServerLoad>& load,
                            std::chrono::milliseconds first_byte,
                            TimePoint now);

  // Records a load that a server reported to another daemon.
  void ObserveLoadReport(const LoadReport& report, TimePoint now);
  // Records a fault of a server, seen by this daemon or by another. A server at
  // which the requests of several daemons fail one after the other is left
  // alone for a while, and then tried by few of them.
  void ObserveFault(const ServerFault& fault, TimePoint now);
  // Sets a function that is called when a server begins to count as faulty, and
  // when it has answered again.
  void OnFaultyChange(std::function<void(const std::string&, bool)> hook) {
    on_faulty_change_ = std::move(hook);
  }
  // Returns the servers that have left a request of this daemon without the
  // beginning of an answer for long, and have answered no daemon since then.
  // Names a server once for each such request.
  std::vector<std::string> TakeSilentServers(TimePoint now);

  // Whether the load lets the program of the request begin or go on. If not, it
  // is of no use to wait for a slot: the load takes seconds to fall.
  bool MayBegin(const SlotRequest& request, TimePoint now) const;

  // Estimates how long a request will wait for a slot.
  std::chrono::milliseconds ExpectedWait(const SlotRequest& request,
                                         TimePoint now) const;
  // Requests per slot, averaged over the servers' recent reports.
  double LevelAt(TimePoint now) const { return level_.At(now); }
  bool empty() const { return servers_.empty(); }
  // Whether a server that is not leaving, healthy or not, has the software
  // version that the request needs, if it needs one.
  bool HasVersionFor(const SlotRequest& request) const;
  // Returns the software version at which the streams of `session` preferably
  // begin: the same one for all of them while the usable servers stay the same,
  // and each version for its share of the slots. Empty if there is none.
  std::string PreferredVersion(const std::string& session, TimePoint now) const;
  std::size_t waiting() const { return waiting_.size(); }
  int in_use() const;

 private:
  struct Server {
    BackendServer info;
    int own_requests = 0;       // Requests of this daemon at the server.
    double other_requests = 0;  // Requests of other daemons at `reported_at`.
    TimePoint reported_at{};
    TimePoint used_at{};  // When this daemon last sent a request.
    ServerHealth health;
    double latency_ms = 0;  // Moving average of the time to first byte.
    PromptCacheView cache;
  };

  static bool IsUsable(const Server& server, TimePoint now);
  // Whether the server has the software version that the request needs.
  static bool Matches(const Server& server, const SlotRequest& request);
  void NotifyFaultyChange(const Server& server, bool faulty) const;
  void ObserveAnswer(Server& server, TimePoint at);
  // Whether the server takes requests with a permit only.
  bool NeedsPermit(const Server& server) const;
  // Whether it does, and no permit can be had soon.
  bool IsExhausted(const Server& server, TimePoint now) const;
  // Milliseconds until a request can have a permit of the server, 0 if it needs
  // none. Null if no permit can be had soon.
  std::optional<double> PermitWaitMs(const Server& server, TimePoint now) const;
  // How long a request behind `ahead` others waits for a permit of any server.
  // Null if no usable server needs one.
  std::optional<std::chrono::milliseconds> ExpectedPermitWait(
      std::ptrdiff_t ahead,
      TimePoint now) const;
  void UsePermit(const Server& server, TimePoint now);
  bool IsOnlyLimited(TimePoint now) const;
  void RecordLevel(const Server& server,
                   int requests,
                   int slots,
                   TimePoint now);
  double LoadOf(const Server& server, TimePoint now) const;
  int SlotsOf(const Server& server) const;
  bool HasRoom(const Server& server, TimePoint now) const;
  std::int64_t ExpectedUncachedTokens(const Server& server,
                                      const SlotRequest& request,
                                      bool is_home) const;
  const Server* HomeServer(const SlotRequest& request, TimePoint now) const;
  double Cost(const Server& server,
              const SlotRequest& request,
              bool is_home,
              bool waits_for_permit,
              TimePoint now) const;
  double ExpectedWaitMs(const Server& server, TimePoint now) const;
  Server* ChooseServer(const SlotRequest& request, TimePoint now);
  AcquiredSlot Acquire(Server& server,
                       const SlotRequest& request,
                       TimePoint now);
  void ObserveLoad(Server& server, const ServerLoad& load, TimePoint now);
  bool WindowAllows(TimePoint now) const;
  bool IsDataCentreFull(TimePoint now) const;
  double MedianLatency() const;

  std::string data_centre_;
  bool is_engine_;
  std::map<std::string, Server> servers_;
  SharedPromptParts shared_parts_;
  std::list<SlotRequest> waiting_;
  RequestWindow window_;  // Used for engines only.
  LoadLevel level_;
  double mean_held_ms_ = 0;  // Moving average of the time a slot is held.
  std::mt19937_64 random_;
  PermitWallet* permits_;
  // Requests that wait for a permit, by server.
  std::map<std::string, int> claims_;
  double permit_interval_ms_ = 0;  // Moving average, between permits used.
  TimePoint permit_used_at_{};
  std::function<void(const std::string&, bool)> on_faulty_change_;
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_POOL_H_
