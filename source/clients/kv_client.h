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

// The platform's key-value service, in the published JSON form of etcd's
// v3 interface (range, txn, lease, watch). Throws KvUnavailable.
class KvClient : public KvStore {
 public:
  KvClient(HttpClient& http,
           std::string address,
           std::chrono::milliseconds timeout);

  std::optional<KvItem> Get(Fiber& fiber, const std::string& key) override;
  // Items in [first, end) by key; `limit` 0 means all.
  KvRange Range(Fiber& fiber,
                const std::string& first,
                const std::string& end,
                int limit = 0);
  KvRange Prefix(Fiber& fiber, const std::string& prefix) override;
  KvTxnResult Commit(Fiber& fiber, const KvTxn& txn) override;

  std::int64_t GrantLease(Fiber& fiber, std::chrono::seconds ttl);
  // False when the lease is gone.
  bool KeepAlive(Fiber& fiber, std::int64_t lease);
  void RevokeLease(Fiber& fiber, std::int64_t lease);

  void Watch(Fiber& fiber,
             const std::string& prefix,
             std::int64_t from_revision,
             std::chrono::milliseconds idle,
             const std::function<void(std::int64_t)>& on_change) override;

  // Told of each call that ended: its path, whether it was answered, and
  // the time it took. A watch is told when it begins.
  using CallHook = std::function<void(const std::string& path,
                                      bool answered,
                                      std::chrono::steady_clock::duration)>;
  void OnCall(CallHook hook) { on_call_ = std::move(hook); }

  // Calls sent so far, a watch as one.
  std::int64_t calls() const { return calls_; }

 private:
  std::string Post(Fiber& fiber,
                   const std::string& path,
                   const std::string& body);
  void Tell(const std::string& path,
            bool answered,
            std::chrono::steady_clock::time_point start) const;

  HttpClient& http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
  std::int64_t calls_ = 0;
  CallHook on_call_;
};

// The key just after every key that starts with `prefix`.
std::string PrefixEnd(std::string prefix);

}  // namespace comfreyfold

#endif  // CLIENTS_KV_CLIENT_H_
