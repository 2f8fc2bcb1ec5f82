#ifndef PLATFORM_KV_CLIENT_H_
#define PLATFORM_KV_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace comfreyfold {

// The service gave no answer. `may_have_applied` is false only when the
// request certainly never reached it.
class KvUnavailable : public std::runtime_error {
 public:
  KvUnavailable(const std::string& what, bool may_have_applied)
      : std::runtime_error(what), may_have_applied_(may_have_applied) {}
  bool may_have_applied() const { return may_have_applied_; }

 private:
  bool may_have_applied_;
};

struct KvItem {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

// What must hold of a key for a transaction to take effect.
struct KvCompare {
  enum class Field { kCreateRevision, kModRevision };
  enum class Relation { kEqual, kGreater };
  std::string key;
  Field field = Field::kCreateRevision;
  Relation relation = Relation::kEqual;
  std::int64_t value = 0;

  static KvCompare Absent(std::string key);
  static KvCompare Exists(std::string key);
  // Unchanged since it was read at `mod_revision`; 0 means absent.
  static KvCompare Unchanged(std::string key, std::int64_t mod_revision);
};

struct KvPut {
  std::string key;
  std::string value;
  std::int64_t lease = 0;
};

struct KvTxn {
  std::vector<KvCompare> compares;
  std::vector<KvPut> puts;
  // Deletes [first, second) each; an empty end means the one key.
  std::vector<std::pair<std::string, std::string>> deletes;
};

struct KvTxnResult {
  bool succeeded = false;
  std::int64_t revision = 0;
};

struct KvRange {
  std::vector<KvItem> items;
  std::int64_t revision = 0;  // Of the whole store when it was read.
};

// The platform's key-value service, in the published JSON form of etcd's
// v3 interface (range, txn, lease, watch). Throws KvUnavailable.
class KvClient {
 public:
  KvClient(HttpClient& http,
           std::string address,
           std::chrono::milliseconds timeout);

  std::optional<KvItem> Get(Fiber& fiber, const std::string& key);
  // Items in [first, end) by key; `limit` 0 means all.
  KvRange Range(Fiber& fiber,
                const std::string& first,
                const std::string& end,
                int limit = 0);
  KvRange Prefix(Fiber& fiber, const std::string& prefix);
  KvTxnResult Commit(Fiber& fiber, const KvTxn& txn);

  std::int64_t GrantLease(Fiber& fiber, std::chrono::seconds ttl);
  // False when the lease is gone.
  bool KeepAlive(Fiber& fiber, std::int64_t lease);
  void RevokeLease(Fiber& fiber, std::int64_t lease);

  // Calls `on_change` with the store's revision at each change below
  // `prefix` from `from_revision` on; returns when the stream ends and
  // throws when it breaks. `idle` bounds the wait between changes.
  void Watch(Fiber& fiber,
             const std::string& prefix,
             std::int64_t from_revision,
             std::chrono::milliseconds idle,
             const std::function<void(std::int64_t)>& on_change);

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

#endif  // PLATFORM_KV_CLIENT_H_
