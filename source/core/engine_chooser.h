#ifndef CORE_ENGINE_CHOOSER_H_
#define CORE_ENGINE_CHOOSER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/decision_settings.h"
#include "core/time_point.h"

namespace comfreyfold {

// The newest load report of an engine.
struct EngineLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;                   // 0: not reported.
  std::int64_t memory_tokens = 0;  // Cache capacity; 0: not reported.
  std::int64_t held_tokens = 0;    // Part of memory_tokens that is in use.
};

// A call that needs a server.
struct EngineRequest {
  std::string program;
  std::int64_t prompt_tokens = 0;
  std::int64_t seen_tokens = 0;      // Part that an earlier turn contained.
  std::int64_t exported_tokens = 0;  // Part that an import can restore.
  std::set<std::string> avoid;       // Servers that failed this call.
};

struct EngineChoice {
  std::string engine;
  std::int64_t cached_tokens = 0;  // Estimate of what the engine has cached.
  bool has_room = true;            // Whether a slot is expected to be free.
  std::chrono::nanoseconds wait{};
  std::chrono::nanoseconds cost{};
};

// Chooses the server of a call by the expected wait and by the cost of
// prefilling the tokens that are not cached there. Also used for plain
// services, whose calls have no tokens.
class EngineChooser {
 public:
  EngineChooser(const DecisionSettings& settings, std::uint64_t seed);

  // Adds a server or changes whether it takes new calls.
  void SetServer(const std::string& id, bool takes_work);
  void RemoveServer(const std::string& id);
  std::vector<std::string> Servers() const;
  void ObserveLoad(const std::string& id, const EngineLoad& load);
  // Records a heartbeat of the daemon `peer` with the number of lanes it owns.
  void ObservePeer(const std::string& peer, int owned_lanes, TimePoint now);
  // Sets the number of lanes that this daemon owns.
  void SetOwnedLanes(int owned_lanes) { owned_lanes_ = owned_lanes; }

  // Record the start and the end of a call of this daemon.
  void Dispatched(const std::string& id);
  struct Finish {
    std::string server;
    std::string program;
    std::int64_t tokens = 0;  // Cached by the engine after the call.
    std::int64_t cached = 0;  // Found in the engine's cache by the call.
    std::chrono::nanoseconds service{};
    bool ran = true;  // Whether the server ran the call.
  };
  void Finished(const Finish& finish, TimePoint now);

  // Records that an order of this daemon changed the engine's cache.
  void SetCached(const std::string& id,
                 const std::string& program,
                 std::int64_t tokens,
                 TimePoint now);
  void Forget(const std::string& program);

  // Returns the best server of `among`, or of all servers when `among` is
  // empty. Servers in `request.avoid` are chosen only when there are no others.
  // Returns none when no server takes calls.
  std::optional<EngineChoice> Choose(const EngineRequest& request,
                                     const std::vector<std::string>& among,
                                     TimePoint now);

  // Calls of this daemon at the server.
  int InFlight(const std::string& id) const;
  // Estimated calls of all daemons at the server.
  double Occupancy(const std::string& id, TimePoint now) const;
  // Whether this daemon may send one more call to the server, or to any.
  bool HasRoom(const std::string& id, TimePoint now) const;
  bool AnyRoom(TimePoint now) const;
  // This daemon's share of the slots of all servers.
  int ShareOfSlots(TimePoint now) const;
  // How long the engine keeps an unused prefix; none until a loss was observed.
  std::optional<std::chrono::nanoseconds> Residence(
      const std::string& id) const;
  std::int64_t MemoryTokens(const std::string& id) const;
  // Whether the engine reports more memory in use than the share for holds.
  bool MemoryShort(const std::string& id) const;
  // Estimated tokens of this daemon's programs in the engine's cache.
  std::int64_t HeldTokens(const std::string& id, TimePoint now) const;
  // This daemon's share of all servers, from 0 to 1.
  double Share(TimePoint now) const;
  std::int64_t CachedTokens(const std::string& id,
                            const std::string& program) const;
  int DaemonCount(TimePoint now) const;
  std::chrono::nanoseconds MeanService() const { return mean_service_; }

 private:
  // What an engine probably has cached of a program.
  struct CachedPrefix {
    std::int64_t tokens = 0;
    TimePoint used_at;
  };
  struct Server {
    bool takes_work = true;
    int own_calls = 0;  // Calls of this daemon.
    EngineLoad load;
    std::optional<std::chrono::nanoseconds> residence;
    std::unordered_map<std::string, CachedPrefix> prefixes;  // By program.
  };
  struct Peer {
    int owned_lanes = 0;
    TimePoint reported_at;
  };
  std::string LeastLoaded(const std::vector<std::string>& ids);
  EngineChoice Evaluate(const std::string& id,
                        const EngineRequest& request,
                        TimePoint now) const;
  static void UpdateResidence(Server& server,
                              std::chrono::nanoseconds idle,
                              bool lost);
  std::vector<std::string> Candidates(const std::vector<std::string>& among,
                                      const EngineRequest& request) const;
  static const CachedPrefix* FindPrefix(const Server& server,
                                        const std::string& program);
  int SlotsOf(const Server& server) const;
  void UpdateTotalSlots();
  static bool IsResident(const Server& server,
                         const CachedPrefix& prefix,
                         TimePoint now);
  // The number of calls that this daemon may have on `slots`.
  int CallLimit(int slots, TimePoint now) const;

  const DecisionSettings& settings_;
  std::uint64_t seed_;
  std::uint64_t rotation_ = 0;
  int own_calls_ = 0;          // Calls of this daemon at all servers.
  double mean_own_calls_ = 0;  // Moving average, sampled at each dispatch.
  int total_slots_ = 0;
  int owned_lanes_ = 0;
  std::map<std::string, Server> servers_;
  std::map<std::string, Peer> peers_;
  std::chrono::nanoseconds mean_service_{};
};

}  // namespace comfreyfold

#endif  // CORE_ENGINE_CHOOSER_H_
