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

// The history that a watch asked for is no longer kept: read again.
class KvCompacted : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A key-value service with compare-and-swap and watches, in whichever form it
// speaks. Calls throw KvUnavailable.
class KvStore {
 public:
  virtual ~KvStore() = default;

  virtual std::optional<KvItem> Get(Fiber& fiber, const std::string& key) = 0;
  virtual KvRange Prefix(Fiber& fiber, const std::string& prefix) = 0;
  virtual KvTxnResult Commit(Fiber& fiber, const KvTxn& txn) = 0;

  // Calls `on_change` with the store's revision at each change below
  // `prefix` from `from_revision` on; returns when the watch ends and throws
  // when it breaks. `idle` bounds the wait between changes. Throws
  // KvCompacted.
  virtual void Watch(Fiber& fiber,
                     const std::string& prefix,
                     std::int64_t from_revision,
                     std::chrono::milliseconds idle,
                     const std::function<void(std::int64_t)>& on_change) = 0;
};

}  // namespace comfreyfold

#endif  // CLIENTS_KV_STORE_H_
