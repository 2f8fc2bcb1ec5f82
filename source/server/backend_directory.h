#ifndef SERVER_BACKEND_DIRECTORY_H_
#define SERVER_BACKEND_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "clients/vm_list_client.h"
#include "core/load_followers.h"
#include "core/server_state.h"
#include "log/event_log.h"
#include "net/http_client.h"

namespace comfreyfold {

// The state of one backend server as known to this daemon.
struct Backend {
  Vm vm;
  // Set by the server's own report, which may precede the VM list.
  bool draining = false;
  // False after a failed connection, until the server answers this daemon or a
  // peer reports that it is reachable.
  bool reachable = true;
  int in_flight = 0;  // Calls of this daemon.
  int reported_running = 0;
  int reported_waiting = 0;
  int reported_slots = 0;                   // 0: not reported.
  std::int64_t reported_memory_tokens = 0;  // 0: not reported.
  std::int64_t reported_held_tokens = 0;
  // The clock of the newest observation of the condition, by this daemon or a
  // peer.
  std::int64_t condition_clock = 0;
  // When this daemon last polled the load.
  std::optional<TimePoint> last_polled;
  // The condition last published by this daemon or a peer, and the condition
  // last observed by this daemon while it follows the server.
  ServerCondition published_condition = ServerCondition::kTakesWork;
  std::optional<ServerCondition> observed_condition;
  // The models that the server reports, in addition to those in the VM list.
  std::vector<std::string> reported_models;
};

// The backend servers. The VM list names them; their load and condition come
// from their own load reports, from peers and from this daemon's calls.
class BackendDirectory {
 public:
  BackendDirectory(Loop& loop,
                   HttpClient& http,
                   VmListClient& vms,
                   EventLog& log,
                   std::chrono::milliseconds list_interval,
                   std::chrono::milliseconds load_interval,
                   LoadFollowers followers);

  void Start();

  // Sets the daemons among which the polling of servers is divided.
  void SetDaemons(const std::vector<std::string>& daemons);
  bool Follows(const std::string& id) const { return followers_.Follows(id); }
  // The hook runs when the condition of a server that this daemon follows
  // changes.
  void OnChange(std::function<void(const ServerState&)> hook);
  // Applies the condition that a peer observed for a server that it follows.
  void ApplyPeerReport(const ServerState& state);

  // Returns the servers of `role` that serve `name` and accept new work.
  // Unreachable servers are returned only when no other server remains.
  std::vector<Backend*> Serving(VmRole role, const std::string& name);
  // Returns whether `id` accepts new work: it is live in the VM list, does not
  // report that it is draining, and was reachable when last contacted.
  bool TakesWork(const std::string& id) const;
  // Polls the load of `id` at once, after a call to it has failed.
  void RecheckLoad(const std::string& id);
  // Returns null when the directory does not contain `id`.
  Backend* Find(const std::string& id);
  bool loaded() const { return loaded_; }
  const std::map<std::string, Backend>& all() const { return backends_; }

 private:
  void PollVmList(Fiber& fiber);
  void PollLoads(Fiber& fiber);
  void PollLoad(Fiber& fiber, const std::string& id);
  std::vector<PolledServer> PollCandidates() const;
  void ExpireLoads();
  static void ApplyLoadReport(Backend& backend, const nlohmann::json& load);
  void RecordCondition(const std::string& id, ServerCondition condition);
  void PublishChange(Backend& backend, ServerCondition condition);
  void SetCondition(Backend& backend, ServerCondition condition);
  void SetReachable(Backend& backend, bool reachable);

  Loop& loop_;
  HttpClient& http_;
  VmListClient& vms_;
  EventLog& log_;
  std::chrono::milliseconds list_interval_;
  std::chrono::milliseconds load_interval_;
  LoadFollowers followers_;
  std::function<void(const ServerState&)> on_change_;
  std::map<std::string, Backend> backends_;
  bool loaded_ = false;
};

}  // namespace comfreyfold

#endif  // SERVER_BACKEND_DIRECTORY_H_
