#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// The users' platform's key-value store, in memory: keys, ranges, watches and
// transactions. An operator writes with POST /operator/put {"key","value"}
// and POST /operator/delete {"key"}.
class PlatformStore : public Service {
 public:
  explicit PlatformStore(Loop& loop);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  // Empty when there is none.
  std::string Value(const std::string& key) const;
  Faults& faults() { return faults_; }
  std::int64_t calls() const { return calls_; }

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
  };

  nlohmann::json ToJson(const std::string& key, const Item& item) const;
  void Operate(const HttpRequest& request, HttpExchange& exchange);
  void Get(const HttpRequest& request, HttpExchange& exchange) const;
  void Range(const HttpRequest& request, HttpExchange& exchange) const;
  void Watch(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  void Txn(const HttpRequest& request, HttpExchange& exchange);
  std::int64_t ChangedBelow(const std::string& prefix) const;

  Faults faults_;
  Condition changed_;
  std::map<std::string, Item> items_;
  std::map<std::string, std::int64_t> deleted_;  // Revision of the deletion.
  std::int64_t revision_ = 1;
  std::int64_t calls_ = 0;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_PLATFORM_STORE_H_
