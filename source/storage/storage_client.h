#ifndef STORAGE_STORAGE_CLIENT_H_
#define STORAGE_STORAGE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/settlement_queue.h"
#include "core/token_quorum.h"
#include "core/turn_index.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "storage/replica_client.h"

namespace comfreyfold {

enum class Tristate {
  kYes,
  kNo,
  kUnknown,  // Too few replicas answered.
};

struct LoadedChain {
  Tristate found = Tristate::kUnknown;
  std::string bytes;               // Inputs and outputs, oldest first.
  std::vector<std::string> turns;  // Their ids, newest first.
};

// What a daemon that serves clients asks of the storage daemons: the turns of
// a chain, and tokens of a program's budget. It needs the key-value service
// for none of it.
class StorageClient {
 public:
  StorageClient(Loop& loop,
                HttpClient& http,
                FleetView& view,
                DecisionLog& log,
                std::string data_centre,
                int tolerated_losses,
                std::size_t cache_bytes,
                std::chrono::milliseconds max_settlement_time);

  LoadedChain LoadChain(Fiber& fiber,
                        const std::string& turn,
                        std::chrono::milliseconds timeout);

  enum class ReserveOutcome {
    kGranted,
    kSpent,    // The budget does not hold it.
    kHeld,     // It would, but for what requests under way may yet use.
    kUnknown,  // Too few replicas answered.
  };
  struct Reservation {
    ReserveOutcome outcome = ReserveOutcome::kUnknown;
    std::int64_t used = 0;  // By other requests, as far as is known.
    bool is_first = true;   // Of the program's requests, as far as is known.
    // Since the program's first request, as far as is known.
    std::chrono::milliseconds program_age{0};
    std::string last_server;  // That worked for the program; or empty.
    int rounds = 1;           // Round trips to a quorum.
  };
  // Reserves the tokens that `use` names if they and all that others have
  // reserved or used fit into `budget`. What was granted counts against the
  // budget until it is settled, also if this daemon dies.
  Reservation Reserve(Fiber& fiber,
                      const TokenUse& use,
                      std::int64_t budget,
                      std::chrono::milliseconds timeout);
  // Says what a reservation came to. Goes with the program's next reservation
  // through this daemon, or by itself in good time.
  void Settle(TokenUse use);

  struct StoreTurnResult {
    bool durable = false;  // False: nothing is certain.
    // A quorum of the disks that decide on the budget knows what it used.
    bool settled = false;
  };
  // Keeps `turn` on disks enough to survive the tolerated losses, and the
  // turns of its chain for as long, and settles `use` on disk.
  StoreTurnResult StoreTurn(Fiber& fiber,
                            const TurnRecord& turn,
                            const TokenUse& use,
                            const std::vector<std::string>& chain,
                            std::chrono::milliseconds timeout);

  // Sends what waits to be settled, again and again.
  void Run(Fiber& fiber);

 private:
  using Enough = std::function<bool(const StorageReplies&)>;

  // Asks again with the newer list when the one known here is outdated.
  StorageReplies AskCurrent(
      Fiber& fiber,
      StorageRequest request,
      std::chrono::milliseconds timeout,
      const std::function<ReplicaClient::Plan(const StorageList&)>& plan,
      const std::function<bool(const StorageList&, const StorageReplies&)>&
          enough);
  bool Outdated(Fiber& fiber, const StorageReplies& replies);
  bool Absent(const StorageList& list, const StorageReplies& replies) const;
  // Uses that a quorum of each replica set knows; false without a quorum.
  bool AskQuorum(Fiber& fiber,
                 const std::string& program,
                 const StorageRequest& request,
                 std::chrono::milliseconds timeout,
                 TokenQuorum& quorum);
  ReplicaClient::Plan PlanOfTurn(const StorageList& list,
                                 const TurnRecord& turn,
                                 const TokenUse& use) const;
  // Settles `use` beside other work; null when the disks of `plan` do that.
  struct Settling;
  std::shared_ptr<Settling> BeginSettling(const TokenUse& use,
                                          const ReplicaClient::Plan& plan,
                                          std::chrono::milliseconds timeout);
  // Tells the disks of each program's quorum, or all of its replicas.
  void SendSettlements(const std::vector<TokenUse>& uses, bool to_all);

  Loop& loop_;
  FleetView& view_;
  DecisionLog& log_;
  ReplicaClient replicas_;
  int tolerated_losses_;
  std::size_t cache_bytes_;
  TurnIndex cache_;
  SettlementQueue settling_;
};

}  // namespace comfreyfold

#endif  // STORAGE_STORAGE_CLIENT_H_
