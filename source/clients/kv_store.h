#ifndef CLIENTS_KV_STORE_H_
#define CLIENTS_KV_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/loop.h"

namespace comfreyfold {

// Thrown when the service gave no usable answer. `may_have_applied` is false
// only if the request certainly changed nothing.
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

// A condition on one key. A transaction is applied only if all of its
// conditions hold.
struct KvCompare {
  enum class Field { kCreateRevision, kModRevision };
  enum class Relation { kEqual, kGreater };
  std::string key;
  Field field = Field::kCreateRevision;
  Relation relation = Relation::kEqual;
  std::int64_t value = 0;

  static KvCompare Absent(std::string key);
  static KvCompare Exists(std::string key);
  // The key has not been modified since it was read with `mod_revision`; 0
  // means that it did not exist.
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
  // Key ranges [first, second) to delete. An empty `second` means the single
  // key `first`.
  std::vector<std::pair<std::string, std::string>> deletes;
};

struct KvTxnResult {
  bool succeeded = false;
  std::int64_t revision = 0;
};

struct KvRange {
  std::vector<KvItem> items;
  std::int64_t revision = 0;  // Revision of the whole store at the read.
};

// Thrown when the store no longer has the history that a watch asked for. The
// caller has to read the keys again.
class KvCompacted : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Interface of a key-value service with compare-and-swap and watches,
// independent of the service's protocol. All calls throw KvUnavailable.
class KvStore {
 public:
  virtual ~KvStore() = default;

  virtual std::optional<KvItem> Get(Fiber& fiber, const std::string& key) = 0;
  virtual KvRange Prefix(Fiber& fiber, const std::string& prefix) = 0;
  virtual KvTxnResult Commit(Fiber& fiber, const KvTxn& txn) = 0;

  // Calls `on_change` with the store's revision for each change under `prefix`,
  // starting at `from_revision`. `idle` bounds the wait between changes.
  // Returns when the watch ends; throws KvUnavailable when the connection
  // breaks, and KvCompacted when the history is no longer available.
  virtual void Watch(Fiber& fiber,
                     const std::string& prefix,
                     std::int64_t from_revision,
                     std::chrono::milliseconds idle,
                     const std::function<void(std::int64_t)>& on_change) = 0;
};

}  // namespace comfreyfold

#endif  // CLIENTS_KV_STORE_H_
