#ifndef CLIENTS_KV_CLIENT_H_
#define CLIENTS_KV_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "clients/kv_store.h"
#include "net/http_client.h"

namespace comfreyfold {

// Client of the platform's key-value service, which offers the JSON gateway of
// the etcd v3 API (range, txn, lease, watch). All calls throw KvUnavailable.
class KvClient : public KvStore {
 public:
  KvClient(HttpClient& http,
           std::string address,
           std::chrono::milliseconds timeout);

  std::optional<KvItem> Get(Fiber& fiber, const std::string& key) override;
  // Returns the items whose keys lie in [first, end), or only the item `first`
  // if `end` is empty. A `limit` of 0 means no limit.
  KvRange Range(Fiber& fiber,
                const std::string& first,
                const std::string& end,
                int limit = 0);
  KvRange Prefix(Fiber& fiber, const std::string& prefix) override;
  KvTxnResult Commit(Fiber& fiber, const KvTxn& txn) override;

  std::int64_t GrantLease(Fiber& fiber, std::chrono::seconds ttl);
  // Returns false if the lease no longer exists.
  bool KeepAlive(Fiber& fiber, std::int64_t lease);
  void RevokeLease(Fiber& fiber, std::int64_t lease);

  void Watch(Fiber& fiber,
             const std::string& prefix,
             std::int64_t from_revision,
             std::chrono::milliseconds idle,
             const std::function<void(std::int64_t)>& on_change) override;

  // Called at the end of each call with its path, whether it was answered with
  // status 200, and its duration. For a watch it is called at the start.
  using CallHook = std::function<void(const std::string& path,
                                      bool answered,
                                      std::chrono::steady_clock::duration)>;
  void OnCall(CallHook hook) { on_call_ = std::move(hook); }

  // Number of calls sent so far; a watch counts as one call.
  std::int64_t calls() const { return calls_; }

 private:
  std::string Post(Fiber& fiber,
                   const std::string& path,
                   const std::string& body);
  void ReportCall(const std::string& path,
                  bool answered,
                  std::chrono::steady_clock::time_point start) const;

  HttpClient& http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
  std::int64_t calls_ = 0;
  CallHook on_call_;
};

// Returns the smallest key that is greater than all keys with `prefix`.
std::string PrefixEnd(std::string prefix);

}  // namespace comfreyfold

#endif  // CLIENTS_KV_CLIENT_H_
