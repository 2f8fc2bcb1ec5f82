#ifndef STANDINS_KV_SERVICE_H_
#define STANDINS_KV_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// Stand-in for the key-value service: an in-memory implementation of the part
// of etcd's v3 JSON interface that the daemons use. GET /audit reports the
// number of requests by path.
class KvService : public Service {
 public:
  explicit KvService(Loop& loop);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  struct Entry {
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t lease = 0;
  };
  struct Lease {
    std::chrono::seconds ttl{};
    std::chrono::steady_clock::time_point expires;
  };

  nlohmann::json Range(const nlohmann::json& body) const;
  nlohmann::json Txn(const nlohmann::json& body);
  nlohmann::json Header() const;
  bool ComparisonHolds(const nlohmann::json& compare) const;
  void Delete(const std::string& first, const std::string& end);
  void ExpireLeases();
  void Watch(Fiber& fiber, const nlohmann::json& body, HttpExchange& exchange);
  nlohmann::json Dispatch(const std::string& path, const nlohmann::json& body);

  Faults faults_;
  Condition changed_;
  std::map<std::string, Entry> entries_;
  std::map<std::int64_t, Lease> leases_;
  std::map<std::string, std::int64_t> requests_by_path_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_KV_SERVICE_H_
