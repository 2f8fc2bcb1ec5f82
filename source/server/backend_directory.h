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

// One backend server as this daemon sees it.
struct Backend {
  Vm vm;
  bool draining = false;  // By its own report, ahead of the VM list.
  // False once it takes no connection; its next report makes it true again.
  bool reachable = true;
  int in_flight = 0;  // Calls of this daemon.
  int reported_running = 0;
  int reported_waiting = 0;
  int reported_slots = 0;                   // 0: not told.
  std::int64_t reported_memory_tokens = 0;  // 0: not told.
  std::int64_t reported_held_tokens = 0;
  // Of the newest look at its condition, here or by a peer.
  std::int64_t seen_clock = 0;
  std::optional<TimePoint> asked;  // For its load, by this daemon.
  // The condition last told between the daemons, and what this one saw last
  // while it followed the server.
  ServerCondition told = ServerCondition::kTakesWork;
  std::optional<ServerCondition> followed;
  std::vector<std::string> reports_models;  // Loaded by order.
};

// The backend servers: who they are from the VM list, how they fare from
// their own reports and from this daemon's calls.
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

  // The daemons that share the following of servers.
  void SetDaemons(const std::vector<std::string>& daemons);
  bool Follows(const std::string& id) const { return followers_.Follows(id); }
  // Told when a server that this daemon follows changes.
  void OnChange(std::function<void(const ServerState&)> hook);
  // What a peer saw of a server that it follows.
  void ApplyPeerReport(const ServerState& state);

  // Servers that serve `name` in `role` and take new work. Those that
  // cannot be reached are left out as long as another one can.
  std::vector<Backend*> Serving(VmRole role, const std::string& name);
  // Whether new work may still go to `id`: neither its own report, nor the
  // VM list, nor the last connection says that it leaves.
  bool TakesWork(const std::string& id) const;
  // A call to `id` was refused: asks at once whether it is leaving.
  void Doubt(const std::string& id);
  // Null when the VM list no longer has `id`.
  Backend* Find(const std::string& id);
  bool loaded() const { return loaded_; }
  const std::map<std::string, Backend>& all() const { return backends_; }

 private:
  void FollowList(Fiber& fiber);
  void FollowLoad(Fiber& fiber);
  void ReadLoad(Fiber& fiber, const std::string& id);
  std::vector<AskedServer> Askable() const;
  void ForgetOldLoads();
  static void TakeLoad(Backend& backend, const nlohmann::json& load);
  void Saw(const std::string& id, ServerCondition condition);
  void TellOfChange(Backend& backend, ServerCondition condition);
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
