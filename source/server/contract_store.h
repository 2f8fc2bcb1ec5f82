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
  // A process whose event loop has not run for this long has been suspended and
  // must reload its contracts before it serves again.
  std::chrono::milliseconds freeze_gap{1000};
  // How long an older revision may still be used once a newer one is known to
  // exist.
  std::chrono::milliseconds grace{2000};
};

// Keeps this daemon's copy of the contracts up to date. Polling the key-value
// service guarantees that every change arrives, a watch makes it arrive sooner,
// and the peers are asked while the service is unavailable.
class ContractStore {
 public:
  // Asks the peers for their contracts in force. Returns nothing when no peer
  // answers.
  using PeerFetcher = std::function<std::optional<ContractSet>(Fiber&)>;

  ContractStore(Loop& loop,
                KvClient& kv,
                EventLog& log,
                const ContractSettings& settings);

  // Starts to poll the key-value service. The watch is less urgent and starts
  // once `await_start_time` returns.
  void Start(PeerFetcher fetch_from_peer,
             const std::function<void(Fiber&)>& await_start_time);

  // Records that a peer has `revision` in force, and polls at once when that is
  // newer than the revision in force here.
  void ObserveRevision(std::int64_t revision);

  // Returns once the contracts may be used. Throws CallError with the verdict
  // kNotRun when a newer revision exists or may exist and cannot be loaded
  // within the time-out.
  void EnsureCurrent(Fiber& fiber);

  // True when the contracts may be used without a reload.
  bool current();

  // Both return null when no contract has this customer name or API key.
  std::shared_ptr<const Contract> FindByName(const std::string& name) const {
    return table_.FindByName(name);
  }
  std::shared_ptr<const Contract> FindByApiKey(const std::string& key) const;

  // The key-value service's revision of the newest contract change in force
  // here. 0 before the first load.
  std::int64_t revision() const { return table_.revision(); }
  bool loaded() const { return table_.loaded(); }
  const ContractSet& set() const { return table_.set(); }

 private:
  void PollForChanges(Fiber& fiber);
  void WatchForChanges(Fiber& fiber);
  void CheckStaleness(Fiber& fiber);
  void Refresh(Fiber& fiber);
  void LoadFromService(Fiber& fiber);
  void LoadFromPeer(Fiber& fiber);
  void ApplyContracts(ContractSet set,
                      std::chrono::steady_clock::time_point asked_at,
                      const char* source);

  Loop& loop_;
  KvClient& kv_;
  EventLog& log_;
  ContractSettings settings_;
  PeerFetcher fetch_from_peer_;
  ContractTable table_;
  ContractGuard guard_;
  Condition poll_requested_;
  Condition revision_confirmed_;
};

}  // namespace comfreyfold

#endif  // SERVER_CONTRACT_STORE_H_
