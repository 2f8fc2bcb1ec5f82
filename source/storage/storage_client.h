#ifndef STORAGE_STORAGE_CLIENT_H_
#define STORAGE_STORAGE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/known_room.h"
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
  // kNo only if enough replicas answered to be certain that the turn that was
  // asked for does not exist.
  Tristate found = Tristate::kUnknown;
  std::string bytes;  // Inputs and outputs of the turns, oldest turn first.
  std::vector<std::string> turns;  // Ids of the turns, newest turn first.
};

// Client of the storage daemons, for a daemon that serves clients: loads and
// stores the turns of a chain, and reserves and settles tokens of a program's
// budget. Works without the key-value service.
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

  // Loads `turn` and all turns before it. Asks one disk first, then one of each
  // data centre, because a turn is stored near the daemon that served it.
  LoadedChain LoadChain(Fiber& fiber,
                        const std::string& turn,
                        std::chrono::milliseconds timeout);

  enum class ReserveOutcome {
    kGranted,
    kSpent,    // The rest of the budget is smaller than the reservation.
    kHeld,     // It would be granted if the recent reservations of requests
               // that are still running were not counted.
    kUnknown,  // Too few replicas answered.
  };
  struct Reservation {
    ReserveOutcome outcome = ReserveOutcome::kUnknown;
    // Tokens that other requests have reserved or used; 0 if `outcome` is
    // kUnknown. The fields below are then taken from the replies received.
    std::int64_t used = 0;
    bool is_first = true;  // No other request of the program is known.
    // Time since the program's first request.
    std::chrono::milliseconds program_age{0};
    // The server that last generated tokens for the program; empty if unknown.
    std::string last_server;
    // The use of `resumed_request`; without a version if that is not known.
    TokenUse resumed_use;
    int rounds = 1;  // Round trips to a quorum.
  };
  // Reserves `use.tokens` if this amount plus the tokens that other requests
  // have reserved or used does not exceed `budget`. A granted reservation
  // counts against the budget until it is settled, even if this daemon dies.
  Reservation Reserve(Fiber& fiber,
                      const TokenUse& use,
                      std::int64_t budget,
                      std::chrono::milliseconds timeout,
                      const std::string& resumed_request = {});

  // A record that is being stored on a quorum of a program's replicas.
  struct PendingStore {
    explicit PendingStore(Loop& loop) : changed(loop) {}
    Condition changed;
    bool ended = false;
    bool stored = false;
  };
  // Begins to store `use` on a quorum of its program's replicas.
  std::shared_ptr<PendingStore> BeginStoreUse(
      const TokenUse& use,
      std::chrono::milliseconds timeout);
  // Returns the use of `request`, without a version if it is not known. Null if
  // no quorum of the replicas has answered.
  std::optional<TokenUse> FindUse(Fiber& fiber,
                                  const std::string& program,
                                  const std::string& request,
                                  std::chrono::milliseconds timeout);
  // Replaces a reservation by the tokens that were actually used. The
  // settlement is sent with the program's next reservation through this daemon,
  // or separately if there is none within a part of `max_settlement_time`.
  void Settle(TokenUse use);

  struct StoreTurnResult {
    // Whether enough disks have stored the turn. If false, some disks may have
    // stored it nevertheless.
    bool durable = false;
    // Whether a quorum of the program's replicas has stored the settlement.
    bool settled = false;
    int tries = 0;    // Times that the turn was sent to disks.
    int answers = 0;  // Disks that reported to have stored it, in the last try.
    // Why the last disk that answered did not store it; empty: none refused.
    std::string refusal;
  };
  // Stores `turn` on enough disks to survive the tolerated losses, each of
  // which then also has the turns `chain` (newest first) for as long as `turn`,
  // and settles `use`. Tries again until `timeout` has passed or, after a
  // try, `abandoned` returns true.
  StoreTurnResult StoreTurn(Fiber& fiber,
                            TurnRecord turn,
                            const TokenUse& use,
                            const std::vector<std::string>& chain,
                            std::chrono::milliseconds timeout,
                            const std::function<bool()>& abandoned);

  // Returns the time until enough disks have room for a turn that is yet to
  // run; 0 if they have, as far as is known. A turn that begins a chain leaves
  // room for the loss of disks, unless one is lost.
  std::chrono::milliseconds RoomForTurnIn(bool begins_chain) const;

  // Sends due settlements at regular intervals. Does not return.
  void Run(Fiber& fiber);

  // Sends all settlements without waiting for the programs' next reservations,
  // before a planned stop.
  void SendQueuedSettlements();
  // Logs how many requests were sent, and why, since the last call.
  void LogSent();
  // Whether settlements are queued or being sent.
  bool sending() const {
    return settlements_.size() > 0 || sent_settlements_ > 0;
  }

 private:
  using Enough = std::function<bool(const StorageReplies&)>;
  using MemberTest = std::function<bool(const StorageMember&)>;
  // Returns the plan for a list without the members that are behind: they do
  // not have the list yet.
  using PlanMaker =
      std::function<ReplicaClient::Plan(const StorageList&,
                                        const MemberTest& is_behind)>;

  // Sends `request` according to the current list of storage members, whose
  // epoch it gets. If a replica has a list of another epoch, brings the older
  // side up to date and sends the request again.
  StorageReplies CallWithCurrentList(
      Fiber& fiber,
      StorageRequest& request,
      std::chrono::milliseconds timeout,
      const PlanMaker& plan,
      const std::function<bool(const StorageList&, const StorageReplies&)>&
          enough);
  // Takes over newer lists from `replies`. Returns whether there was one.
  bool TakeLists(const StorageReplies& replies);
  // Disks that a call has sent the list of members.
  struct SentList;
  // Sends the list to the replicas that, by `replies`, have an older one, each
  // in a coroutine of its own. Returns whether there was one.
  bool SendList(const StorageReplies& replies,
                const std::shared_ptr<SentList>& sent);
  // Whether the replies prove that no disk of `list` holds the requested turn.
  bool IsAbsent(const StorageList& list, const StorageReplies& replies) const;
  // Sends `request` to the replicas of `program` and adds the uses that they
  // report to `quorum`. Returns false unless a quorum of each replica set has
  // answered.
  bool CallQuorum(Fiber& fiber,
                  const std::string& program,
                  StorageRequest& request,
                  std::chrono::milliseconds timeout,
                  TokenQuorum& quorum);
  // Asks disks without room that have reported nothing for some time.
  void AskFullDisks();
  // Whether no disk is lost or being replaced, as far as is known.
  bool HasAllDisks() const;
  // Whether a disk takes no turn, even one that has run.
  bool HasDiskWithoutRoom() const;
  // The room that a disk should have for a turn.
  DiskRoom RoomWanted(bool begins_chain) const;
  // Puts disks without the room `wanted` after others and failing ones last,
  // and leaves out those that take no turn.
  std::vector<StorageMember> SortByRoom(std::vector<StorageMember> members,
                                        DiskRoom wanted) const;
  // `root` is the id of the first turn of the chain of the turn `id`.
  ReplicaClient::Plan PlanForTurn(const StorageList& list,
                                  const std::string& id,
                                  const std::string& root,
                                  const TokenUse& use) const;
  // Loads `turn` and the turns before it, newest first. Returns no turn if one
  // of them could not be loaded; `found` tells whether `turn` exists.
  std::vector<TurnRecord> LoadTurns(Fiber& fiber,
                                    const std::string& turn,
                                    TimePoint deadline,
                                    Tristate& found);
  // Sends the earlier turns of the chain that ends with `turn` to those disks
  // that, by their `replies`, have stored `turn` and lack them. Returns how
  // many disks have the whole chain.
  std::size_t CompleteChain(Fiber& fiber,
                            const TurnRecord& turn,
                            const StorageReplies& replies,
                            TimePoint deadline);
  // Sends `turns` to the disk, to be kept until `until`. Returns whether it has
  // stored them.
  bool SendTurns(Fiber& fiber,
                 const StorageMember& member,
                 const std::vector<const TurnRecord*>& turns,
                 std::chrono::milliseconds until,
                 TimePoint deadline);
  // Sends the turn of `request` once and completes the chain before it, whose
  // first turn is `root`. Returns whether enough disks have all of it then.
  bool TryStoreTurn(Fiber& fiber,
                    StorageRequest& request,
                    const std::string& root,
                    const TokenUse& use,
                    TimePoint deadline,
                    StorageReplies& replies);
  // Starts to store the settled `use` on the replicas of its program, in a
  // coroutine of its own. Returns null if the disks of `plan` include a quorum
  // of them, because the store of the turn carries the settlement then.
  std::shared_ptr<PendingStore> BeginSettlement(
      const TokenUse& use,
      const ReplicaClient::Plan& plan,
      std::chrono::milliseconds timeout);
  // Sends `uses` to a quorum of each program's replicas, or to all of them.
  void SendSettlements(const std::vector<TokenUse>& uses, bool to_all_replicas);

  Loop& loop_;
  FleetView& view_;
  DecisionLog& log_;
  ReplicaClient replicas_;
  int tolerated_losses_;
  std::size_t cache_bytes_;
  TurnIndex cache_;
  SettlementQueue settlements_;
  KnownRoom known_room_;
  int sent_settlements_ = 0;  // Requests with settlements that are in progress.
};

}  // namespace comfreyfold

#endif  // STORAGE_STORAGE_CLIENT_H_
