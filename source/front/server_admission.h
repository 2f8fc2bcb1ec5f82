#ifndef FRONT_SERVER_ADMISSION_H_
#define FRONT_SERVER_ADMISSION_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/client_call.h"
#include "core/permit_wallet.h"
#include "core/server_pool.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "net/loop.h"

namespace comfreyfold {

// Why a request got no slot at a server.
enum class SlotFailure {
  kNoServers,    // No server of the service is registered.
  kNoVersion,    // None has the version that must go on with the stream.
  kWaitTooLong,  // No slot is expected to become free in time, or none did.
  kClientLeft,   // The client closed its connection while waiting.
};

struct SlotResult {
  std::optional<AcquiredSlot> slot;
  // Meaningful only when there is no slot.
  SlotFailure reason = SlotFailure::kNoServers;
  std::chrono::milliseconds expected_wait{0};
  std::chrono::milliseconds queue_time{0};
  double load_level = 0;  // Requests per slot at the servers, on arrival.
};

// Admits requests to the servers of all services: keeps a server pool for each
// service and the queue of coroutines that wait for a slot in it.
class ServerAdmission {
 public:
  ServerAdmission(Loop& loop,
                  FleetView& view,
                  DecisionLog& log,
                  std::string data_centre);

  // Waits until `request.acquire_by` for a slot at a server of `service`.
  // Returns immediately when the wait is expected to be longer.
  SlotResult Acquire(Fiber& fiber,
                     const std::string& service,
                     SlotRequest request,
                     const std::function<bool()>& client_gone);

  // Records that the head of a server's answer has arrived, with the load that
  // the server reported and the time to the first byte.
  void ObserveResponseStart(const std::string& service,
                            const AcquiredSlot& slot,
                            const std::optional<ServerLoad>& load,
                            std::chrono::milliseconds first_byte);
  // Records what the head of a server's answer said about its limit.
  void ObserveLimit(const AcquiredSlot& slot, const ServerAnswer& answer);
  // Records that the limits of servers or the permits have changed.
  void OnLimitsChanged();
  // Sets a function that is called when requests wait for permits.
  void OnPermitsWanted(std::function<void()> hook) {
    on_permits_wanted_ = std::move(hook);
  }
  // The permits for servers with a limit.
  PermitWallet& permits() { return permits_; }

  // Records that the server at the slot's address says that it is leaving.
  void ObserveLeaving(const AcquiredSlot& slot);
  // Gives a slot back after the exchange with its server has ended.
  void Release(const std::string& service,
               const AcquiredSlot& slot,
               ExchangeResult result,
               const std::optional<ServerLoad>& load,
               std::chrono::milliseconds held);

  // Records a server load that was reported to another daemon.
  void ObserveLoadReport(const LoadReport& report);
  // Records a server's fault that another daemon has seen.
  void ObserveFault(const ServerFault& fault);

  // See ServerPool::PreferredVersion.
  std::string PreferredVersion(const std::string& service,
                               const std::string& session);

  // Number of requests that wait for a slot.
  std::size_t waiting() const;

 private:
  struct Waiter {
    explicit Waiter(Loop& loop) : changed(loop) {}
    Condition changed;
    std::optional<AcquiredSlot> slot;
  };
  struct ServiceQueue {
    ServiceQueue(const std::string& data_centre,
                 bool is_engine,
                 std::uint64_t seed,
                 PermitWallet& permits)
        : pool(data_centre, is_engine, seed, &permits) {}
    ServerPool pool;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;  // By ticket.
  };

  // Returns the queue of `service`, creating it on first use.
  ServiceQueue& QueueOf(const std::string& service);
  // Passes the registered servers to all pools.
  void UpdateServers();
  // Records a fault that this daemon has seen, for itself and for others.
  void RecordFault(ServerPool& pool, const std::string& server_id);
  // Records servers that do not answer, at regular intervals. Does not return.
  void WatchForSilence(Fiber& fiber);
  // Hands free slots to waiting requests and wakes them.
  void AssignSlots(ServiceQueue& queue);
  // Asks for the permits that the requests of a service need.
  void AskForPermits(ServiceQueue& queue);

  Loop& loop_;
  FleetView& view_;
  DecisionLog& log_;
  std::string data_centre_;
  PermitWallet permits_;
  std::function<void()> on_permits_wanted_;
  std::set<std::string> unreadable_limits_;  // Servers that were logged.
  std::map<std::string, std::unique_ptr<ServiceQueue>> queues_;
  std::uint64_t next_ticket_ = 1;
  const std::uint64_t origin_;  // Identifies the faults that this daemon sees.
  std::int64_t faults_ = 0;
};

}  // namespace comfreyfold

#endif  // FRONT_SERVER_ADMISSION_H_
