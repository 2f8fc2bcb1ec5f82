#ifndef SERVER_CONTRACT_STORE_H_
#define SERVER_CONTRACT_STORE_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "core/contract.h"
#include "log/event_log.h"
#include "net/loop.h"
#include "platform/kv_client.h"

namespace comfreyfold {

// The contracts in force on this daemon. Polling is the guarantee, the
// watch makes it quick.
class ContractStore {
 public:
  ContractStore(Loop& loop,
                KvClient& kv,
                EventLog& log,
                std::chrono::milliseconds poll_interval);

  // Starts following the service.
  void Start();

  // Null when no contract has this name or key.
  std::shared_ptr<const Contract> FindByName(const std::string& name) const;
  std::shared_ptr<const Contract> FindByApiKey(const std::string& key) const;

  // The service's revision of the newest change in force here; 0: none yet.
  std::int64_t revision() const { return revision_; }
  bool loaded() const { return loaded_; }

 private:
  void Load(Fiber& fiber);
  void Poll(Fiber& fiber);
  void Follow(Fiber& fiber);

  Loop& loop_;
  KvClient& kv_;
  EventLog& log_;
  std::chrono::milliseconds poll_interval_;
  std::map<std::string, std::shared_ptr<const Contract>> by_name_;
  std::map<std::string, std::shared_ptr<const Contract>> by_key_digest_;
  std::int64_t revision_ = 0;
  bool loaded_ = false;
  Condition stirred_;
};

}  // namespace comfreyfold

#endif  // SERVER_CONTRACT_STORE_H_
