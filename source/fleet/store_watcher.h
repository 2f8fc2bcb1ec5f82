#ifndef FLEET_STORE_WATCHER_H_
#define FLEET_STORE_WATCHER_H_

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "clients/kv_store.h"
#include "core/routing.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"

namespace comfreyfold {

// Where the key-value service has what, and how to read it.
struct StoreLayout {
  std::string operators_prefix;  // All that the operators write.
  std::string config_key;
  std::string servers_prefix;
  std::string list_key;  // Of storage members.
  // They throw std::runtime_error on text that cannot be read.
  std::function<RoutingConfig(const std::string&)> decode_config;
  std::function<BackendServer(const std::string& key, const std::string&)>
      decode_server;
  std::function<StorageList(const std::string&)> decode_list;
};

// Keeps a view up to date from the key-value service: what operators write
// and the storage list by watches, registrations by bounded reads, since
// every heartbeat changes one of them.
class StoreWatcher {
 public:
  StoreWatcher(Loop& loop,
               KvStore& store,
               FleetView& view,
               DecisionLog& log,
               StoreLayout layout,
               std::chrono::milliseconds read_every);

  // Asked before each call: false lets the service alone, because another
  // daemon reads it and passes on what it learns.
  void ReadOnlyIf(std::function<bool()> needed) { needed_ = std::move(needed); }
  // The same for the list of storage members, which others tell of anyway.
  void WatchListOnlyIf(std::function<bool()> needed) {
    list_needed_ = std::move(needed);
  }
  // Told all that the operators wrote, at each reading.
  void OnOperatorKeys(std::function<void(const KvRange&)> hook) {
    on_operators_ = std::move(hook);
  }

  void Start();

 private:
  void FollowOperators(Fiber& fiber);
  void FollowList(Fiber& fiber);
  void ReadServers(Fiber& fiber);
  void ReadServersOnce(Fiber& fiber);
  std::int64_t ReadOperators(Fiber& fiber);
  std::int64_t ReadList(Fiber& fiber);
  void Follow(Fiber& fiber,
              const std::string& prefix,
              std::chrono::milliseconds watch_for,
              const std::function<bool()>& needed,
              const std::function<std::int64_t()>& read,
              const std::function<void(TimePoint)>& confirmed);
  void Reached(bool reached, const std::string& reason);
  std::chrono::milliseconds Backoff(int failures) const;

  Loop& loop_;
  KvStore& store_;
  FleetView& view_;
  DecisionLog& log_;
  StoreLayout layout_;
  std::chrono::milliseconds read_every_;
  std::function<bool()> needed_;
  std::function<bool()> list_needed_;
  std::function<void(const KvRange&)> on_operators_;
  bool reached_ = true;
  std::vector<std::string> unreadable_;  // Keys, as last logged.
};

}  // namespace comfreyfold

#endif  // FLEET_STORE_WATCHER_H_
