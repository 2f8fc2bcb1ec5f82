#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// Stand-in for the key-value store of the platform: an in-memory store with
// reads of keys and ranges, watches and transactions. Operators write to it
// with POST /operator/put {"key","value"} and POST /operator/delete {"key"}.
class PlatformStore : public Service {
 public:
  explicit PlatformStore(Loop& loop);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  // Returns the value of `key`; empty if the key does not exist.
  std::string Value(const std::string& key) const;
  Faults& faults() { return faults_; }
  std::int64_t calls() const { return calls_; }

 private:
  struct Entry {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t create_revision = 0;
  };

  nlohmann::json ToJson(const std::string& key, const Entry& entry) const;
  void HandleOperatorRequest(const HttpRequest& request,
                             HttpExchange& exchange);
  void Get(const HttpRequest& request, HttpExchange& exchange) const;
  void Range(const HttpRequest& request, HttpExchange& exchange) const;
  void Watch(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  void Txn(const HttpRequest& request, HttpExchange& exchange);
  // Returns the revision of the latest write or deletion of a key with that
  // prefix; 0 if there is none.
  std::int64_t LatestRevision(const std::string& prefix) const;

  Faults faults_;
  Condition changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, std::int64_t> deletion_revisions_;  // By key.
  std::int64_t revision_ = 1;
  std::int64_t calls_ = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_PLATFORM_STORE_H_
