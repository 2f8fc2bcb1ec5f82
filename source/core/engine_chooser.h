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

// What an engine says of itself, some time ago.
struct EngineLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;                   // 0: not told.
  std::int64_t memory_tokens = 0;  // 0: not told.
  std::int64_t held_tokens = 0;    // Of them, in use.
};

// The call that needs a server.
struct EngineRequest {
  std::string program;
  std::int64_t prompt_tokens = 0;
  std::int64_t seen_tokens = 0;      // Of them, in the prompt of a turn before.
  std::int64_t exported_tokens = 0;  // Of them, to be had by an import.
  std::set<std::string> avoid;       // Failed this call already.
};

struct EngineChoice {
  std::string engine;
  std::int64_t cached_tokens = 0;  // Believed to be in its memory.
  bool has_room = true;            // A slot is believed to be free.
  std::chrono::nanoseconds wait{};
  std::chrono::nanoseconds cost{};
};

// Chooses the server of a call by expected wait and by the cost of
// prefilling what is not cached there. Serves for plain services as well:
// their calls have no tokens.
class EngineChooser {
 public:
  EngineChooser(const DecisionSettings& settings, std::uint64_t seed);

  // Adds a server, or says whether it takes new work.
  void SetServer(const std::string& id, bool takes_work);
  void RemoveServer(const std::string& id);
  std::vector<std::string> Servers() const;
  void ObserveLoad(const std::string& id, const EngineLoad& load);
  // The newest heartbeat of the daemon `peer`: the lanes it owns.
  void ObservePeer(const std::string& peer, int work, TimePoint now);
  // The same of this daemon.
  void SetOwnedLanes(int work) { work_ = work; }

  // This daemon's own calls.
  void Dispatched(const std::string& id);
  // `tokens` are in the engine's memory now; `cached` were found there.
  struct Finish {
    std::string server;
    std::string program;
    std::int64_t tokens = 0;
    std::int64_t cached = 0;
    std::chrono::nanoseconds service{};
    bool ran = true;
  };
  void Finished(const Finish& finish, TimePoint now);

  // The engine's memory changed by our order.
  void SetCached(const std::string& id,
                 const std::string& program,
                 std::int64_t tokens,
                 TimePoint now);
  void Forget(const std::string& program);

  // The best of `among` (empty: of all that take work); none when there is
  // no server.
  std::optional<EngineChoice> Choose(const EngineRequest& request,
                                     const std::vector<std::string>& among,
                                     TimePoint now);

  // Own calls, and an estimate of all daemons'.
  int InFlight(const std::string& id) const;
  double Occupancy(const std::string& id, TimePoint now) const;
  bool HasRoom(const std::string& id, TimePoint now) const;
  bool AnyRoom(TimePoint now) const;
  // Slots of all servers that fall to this daemon.
  int ShareOfSlots(TimePoint now) const;
  // How long an unused prefix stays in the engine's memory; none while no
  // loss was seen.
  std::optional<std::chrono::nanoseconds> Residence(
      const std::string& id) const;
  std::int64_t MemoryTokens(const std::string& id) const;
  // Whether the engine says that more than the holds' share is in use.
  bool MemoryShort(const std::string& id) const;
  // Tokens of this daemon's programs believed to be in its memory.
  std::int64_t HeldTokens(const std::string& id, TimePoint now) const;
  double Share(TimePoint now) const;
  std::int64_t Cached(const std::string& id, const std::string& program) const;
  int DaemonCount(TimePoint now) const;
  std::chrono::nanoseconds MeanService() const { return mean_service_; }

 private:
  struct Belief {
    std::int64_t tokens = 0;
    TimePoint used;
  };
  struct Server {
    bool takes_work = true;
    int own = 0;
    EngineLoad load;
    std::optional<std::chrono::nanoseconds> residence;
    std::unordered_map<std::string, Belief> beliefs;  // By program.
  };
  struct Peer {
    int work = 0;
    TimePoint told;
  };
  std::string LeastLoaded(const std::vector<std::string>& ids);
  EngineChoice Weigh(const std::string& id,
                     const EngineRequest& request,
                     TimePoint now) const;
  static void LearnResidence(Server& server,
                             std::chrono::nanoseconds idle,
                             bool lost);
  std::vector<std::string> Candidates(const std::vector<std::string>& among,
                                      const EngineRequest& request) const;
  static const Belief* Find(const Server& server, const std::string& program);
  int Slots(const Server& server) const;
  void CountSlots();
  static bool Believed(const Server& server,
                       const Belief& belief,
                       TimePoint now);
  // Calls that this daemon may have on `slots`.
  int RoomFor(int slots, TimePoint now) const;

  const DecisionSettings& settings_;
  std::uint64_t seed_;
  std::uint64_t turn_ = 0;
  int own_ = 0;
  double mean_own_ = 0;  // As each call found it.
  int total_slots_ = 0;
  int work_ = 0;
  std::map<std::string, Server> servers_;
  std::map<std::string, Peer> peers_;
  std::chrono::nanoseconds mean_service_{};
};

}  // namespace comfreyfold

#endif  // CORE_ENGINE_CHOOSER_H_
