#ifndef SERVER_CONTRACT_STORE_H_
#define SERVER_CONTRACT_STORE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "clients/kv_client.h"
#include "core/contract_guard.h"
#include "core/contract_table.h"
#include "log/event_log.h"
#include "net/loop.h"

namespace comfreyfold {

struct ContractSettings {
  std::chrono::milliseconds poll_interval{2000};
  bool watch = true;
  std::chrono::milliseconds freeze_gap{1000};
  std::chrono::milliseconds grace{2000};
};

// The contracts in force on this daemon. Polling is the guarantee, the
// watch makes it quick, the peers stand in while the service is out.
class ContractStore {
 public:
  // Asks a peer for what it has in force; empty when none answers.
  using PeerHook = std::function<std::optional<ContractSet>(Fiber&)>;

  ContractStore(Loop& loop,
                KvClient& kv,
                EventLog& log,
                const ContractSettings& settings);

  // Starts following the service. The watch can wait: it begins once
  // `await_turn` returns.
  void Start(PeerHook from_peer, const std::function<void(Fiber&)>& await_turn);

  // A peer has `revision` in force.
  void HeardOf(std::int64_t revision);

  // Returns once the contracts may be used. Throws CallError (not run) when
  // a newer revision exists, or may exist, that cannot be had now.
  void EnsureCurrent(Fiber& fiber);

  // True when the contracts may be used as they are.
  bool current();

  // Null when no contract has this name or key.
  std::shared_ptr<const Contract> FindByName(const std::string& name) const {
    return table_.FindByName(name);
  }
  std::shared_ptr<const Contract> FindByApiKey(const std::string& key) const;

  // The service's revision of the newest change in force here; 0: none yet.
  std::int64_t revision() const { return table_.revision(); }
  bool loaded() const { return table_.loaded(); }
  const ContractSet& set() const { return table_.set(); }

 private:
  void Poll(Fiber& fiber);
  void Follow(Fiber& fiber);
  void Tick(Fiber& fiber);
  void Refresh(Fiber& fiber);
  void LoadFromService(Fiber& fiber);
  void LoadFromPeer(Fiber& fiber);
  void PutInForce(ContractSet set,
                  std::chrono::steady_clock::time_point asked_at,
                  const char* source);

  Loop& loop_;
  KvClient& kv_;
  EventLog& log_;
  ContractSettings settings_;
  PeerHook from_peer_;
  ContractTable table_;
  ContractGuard guard_;
  Condition stirred_;
  Condition confirmed_;
};

}  // namespace comfreyfold

#endif  // SERVER_CONTRACT_STORE_H_
