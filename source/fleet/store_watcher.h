#ifndef FLEET_STORE_WATCHER_H_
#define FLEET_STORE_WATCHER_H_

#include <chrono>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "clients/kv_store.h"
#include "core/routing.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"

namespace comfreyfold {

// Keys of a deployment in the key-value service, and decoders of their values.
struct StoreLayout {
  std::string operator_prefix;  // Of all keys that operators write.
  std::string config_key;
  std::string servers_prefix;
  std::string storage_list_key;
  // The decoders throw std::runtime_error on malformed input.
  std::function<RoutingConfig(const std::string&)> decode_config;
  std::function<BackendServer(const std::string& key, const std::string&)>
      decode_server;
  std::function<StorageList(const std::string&)> decode_storage_list;
};

// Keeps a view up to date from the key-value service. Operator keys and the
// list of storage members are watched. Registrations of backend servers are
// polled instead, because every heartbeat of a server changes one of them.
class StoreWatcher {
 public:
  StoreWatcher(Loop& loop,
               KvStore& store,
               FleetView& view,
               DecisionLog& log,
               StoreLayout layout,
               std::chrono::milliseconds read_interval);

  // Sets a function that is called before each request. While it returns false,
  // the key-value service is not read, because another daemon reads it and
  // passes the results on.
  void ReadOnlyIf(std::function<bool()> condition) {
    read_condition_ = std::move(condition);
  }
  // The same for the list of storage members, which other daemons pass on
  // anyway.
  void WatchListOnlyIf(std::function<bool()> condition) {
    list_read_condition_ = std::move(condition);
  }
  // Sets a function that receives all operator keys after each reading.
  void OnOperatorKeys(std::function<void(const KvRange&)> hook) {
    on_operator_keys_ = std::move(hook);
  }

  void Start();

 private:
  void WatchOperatorKeys(Fiber& fiber);
  void WatchStorageList(Fiber& fiber);
  void PollServers(Fiber& fiber);
  void ReadServersOnce(Fiber& fiber);
  std::int64_t ReadOperatorKeys(Fiber& fiber);
  std::int64_t ReadStorageList(Fiber& fiber);
  // Watches `prefix`: calls `read`, which returns the revision read, at first
  // and after each change, and `confirmed` with the time up to which nothing
  // changed.
  void WatchPrefix(Fiber& fiber,
                   const std::string& prefix,
                   std::chrono::milliseconds watch_time,
                   const std::function<bool()>& condition,
                   const std::function<std::int64_t()>& read,
                   const std::function<void(TimePoint)>& confirmed);
  // Records whether the key-value service answers, and logs a change.
  void RecordReachable(bool reachable, const std::string& reason);
  std::chrono::milliseconds Backoff(int failures) const;

  Loop& loop_;
  KvStore& store_;
  FleetView& view_;
  DecisionLog& log_;
  StoreLayout layout_;
  std::chrono::milliseconds read_interval_;
  std::function<bool()> read_condition_;
  std::function<bool()> list_read_condition_;
  std::function<void(const KvRange&)> on_operator_keys_;
  bool reachable_ = true;
  // Keys with malformed registrations at the last reading; logged already.
  std::set<std::string> malformed_keys_;
};

}  // namespace comfreyfold

#endif  // FLEET_STORE_WATCHER_H_
