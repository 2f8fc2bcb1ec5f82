#ifndef FRONT_SERVER_GATE_H_
#define FRONT_SERVER_GATE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/server_pool.h"
#include "fleet/fleet_view.h"
#include "net/loop.h"

namespace comfreyfold {

// Why a request got no place at a server.
enum class NoPlace {
  kNoServers,  // The service has none that can be used.
  kTooLong,    // Its turn would come too late.
  kLeft,       // Its client has gone.
};

struct PlaceResult {
  std::optional<AcquiredSlot> place;
  NoPlace reason = NoPlace::kNoServers;
  std::chrono::milliseconds expected_wait{0};
  std::chrono::milliseconds waited{0};
  double level = 0;  // Requests at servers for each slot, when it came.
};

// The pools of all services, with the coroutines that wait for a place.
class ServerGate {
 public:
  ServerGate(Loop& loop, FleetView& view, std::string data_centre);

  // Waits for a place at a server of `service` until `ask.acquire_by`. Gives up
  // at once when the wait is expected to be longer than that.
  PlaceResult Enter(Fiber& fiber,
                    const std::string& service,
                    SlotRequest ask,
                    const std::function<bool()>& client_left);

  void Answered(const std::string& service,
                const AcquiredSlot& place,
                const std::optional<ServerLoad>& load,
                std::chrono::milliseconds first_byte);
  void Leave(const std::string& service,
             const AcquiredSlot& place,
             ExchangeResult result,
             const std::optional<ServerLoad>& load,
             std::chrono::milliseconds held);

  // A server told another daemon of its load.
  void Heard(const LoadReport& note);

  std::size_t waiting() const;

 private:
  struct Waiter {
    explicit Waiter(Loop& loop) : changed(loop) {}
    Condition changed;
    std::optional<AcquiredSlot> place;
  };
  struct Entrance {
    Entrance(const std::string& data_centre, bool is_engine)
        : pool(data_centre, is_engine) {}
    ServerPool pool;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  };

  Entrance& At(const std::string& service);
  void Update();
  void Serve(Entrance& entrance);

  Loop& loop_;
  FleetView& view_;
  std::string data_centre_;
  std::map<std::string, std::unique_ptr<Entrance>> entrances_;
  std::uint64_t next_ticket_ = 1;
};

}  // namespace comfreyfold

#endif  // FRONT_SERVER_GATE_H_
