#include "storage/storage_client.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "storage/replica_replies.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kSettlementInterval{100};
constexpr std::chrono::milliseconds kSettlementTimeout{1000};
// Part of the maximum settlement time for which a settlement waits for the
// program's next reservation. Most reservations follow within 500 ms.
constexpr int kSettlementDelayPercent = 40;
// An older reservation that is not settled may belong to a daemon that has
// died, and counts as spent. Longer than most turns take, shorter than their
// time limits.
constexpr std::chrono::milliseconds kMaxHeldAge{2000};
// Retries of a request because the list of storage members changed meanwhile.
// More than one is rarely needed.
constexpr int kMaxListChanges = 4;

}  // namespace

StorageClient::StorageClient(Loop& loop,
                             HttpClient& http,
                             FleetView& view,
                             DecisionLog& log,
                             std::string data_centre,
                             int tolerated_losses,
                             std::size_t cache_bytes,
                             std::chrono::milliseconds max_settlement_time)
    : loop_(loop),
      view_(view),
      log_(log),
      replicas_(loop, http, std::move(data_centre)),
      tolerated_losses_(tolerated_losses),
      cache_bytes_(cache_bytes),
      settlements_(max_settlement_time * kSettlementDelayPercent / 100) {
  replicas_.SetRelays([this] { return view_.client_daemons(); });
  replicas_.OnReachabilityChange(
      [this](const StorageMember& member, bool answered) {
        log_.Write(answered ? "storage_regained" : "storage_lost", "",
                   {{"peer", member.vm}, {"address", member.address}});
      });
}

bool StorageClient::UpdateLists(Fiber& fiber, const StorageReplies& replies) {
  bool out = false;
  for (const auto& [disk, reply] : replies) {
    if (reply.members) {
      out = view_.ApplyStorageList(*reply.members) || out;
    }
  }
  for (const auto& [disk, reply] : replies) {
    const auto* member = view_.storage_list().Find(disk);
    if (reply.status != StorageStatus::kNewEpoch || member == nullptr) {
      continue;
    }
    // The replica has not received the list from the key-value service yet.
    StorageRequest adopt;
    adopt.operation = StorageOperation::kAdopt;
    adopt.members = view_.storage_list();
    StorageReply answer;
    const bool adopted =
        replicas_.CallOne(fiber, *member, adopt, kSettlementTimeout, answer) &&
        answer.status == StorageStatus::kDone;
    out = adopted || out;
  }
  return out;
}

StorageReplies StorageClient::CallWithCurrentList(
    Fiber& fiber,
    StorageRequest request,
    std::chrono::milliseconds timeout,
    const std::function<ReplicaClient::Plan(const StorageList&)>& plan,
    const std::function<bool(const StorageList&, const StorageReplies&)>&
        enough) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (int n = 0;; ++n) {
    const auto list = view_.storage_list();
    request.epoch = list.epoch;
    auto current_plan = plan(list);
    current_plan.timeout = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    auto replies = replicas_.Call(
        fiber, current_plan, request, [&](const StorageReplies& it) {
          return enough(list, it) || HasOtherEpoch(it);
        });
    if (enough(list, replies) || n == kMaxListChanges ||
        std::chrono::steady_clock::now() >= deadline) {
      return replies;
    }
    // A concurrent request may have taken over the newer list.
    if (!UpdateLists(fiber, replies) &&
        view_.storage_list().epoch == list.epoch) {
      return replies;
    }
  }
}

bool StorageClient::IsAbsent(const StorageList& list,
                             const StorageReplies& replies) const {
  const auto certain = [&](const std::vector<StorageMember>& members) {
    return CountAbsentReplies(members, replies) >=
           StorageList::AnswersToProveAbsence(members, tolerated_losses_);
  };
  return !list.members.empty() && certain(list.members) &&
         (!list.changing() || certain(list.next));
}

LoadedChain StorageClient::LoadChain(Fiber& fiber,
                                     const std::string& turn,
                                     std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  LoadedChain out;
  std::vector<TurnRecord> chain;  // Newest turn first.
  std::string next_turn = turn;
  while (!next_turn.empty()) {
    if (const auto* cached = cache_.Find(next_turn)) {
      chain.push_back(*cached);
      next_turn = cached->parent;
      continue;
    }
    StorageRequest request;
    request.operation = StorageOperation::kChain;
    request.ids = {next_turn};
    const auto replies = CallWithCurrentList(
        fiber, request,
        std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now()),
        [this](const StorageList& list) {
          ReplicaClient::Plan plan;
          plan.targets = replicas_.SpreadOverDataCentres(list.AllMembers());
          return plan;
        },
        [this](const StorageList& list, const StorageReplies& it) {
          return IsAbsent(list, it) ||
                 std::any_of(it.begin(), it.end(), [](const auto& reply) {
                   return !reply.second.turns.empty();
                 });
        });
    const auto found =
        std::find_if(replies.begin(), replies.end(),
                     [](const auto& it) { return !it.second.turns.empty(); });
    if (found == replies.end()) {
      // If only older turns of the chain are missing, the requested turn
      // exists, so the chain does not count as absent.
      if (chain.empty() && IsAbsent(view_.storage_list(), replies)) {
        out.found = Tristate::kNo;
      }
      log_.Write("chain_missing", "",
                 {{"turn", next_turn},
                  {"answers", static_cast<int>(replies.size())},
                  {"certain", out.found == Tristate::kNo ? 1 : 0}});
      return out;
    }
    for (const auto& it : found->second.turns) {
      cache_.Put(it);
    }
    if (cache_.Find(next_turn) == nullptr) {
      return out;
    }
  }
  for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
    out.bytes += it->input;
    out.bytes += it->output;
  }
  for (const auto& it : chain) {
    out.turns.push_back(it.id);
  }
  out.found = Tristate::kYes;
  return out;
}

bool StorageClient::CallQuorum(Fiber& fiber,
                               const std::string& program,
                               const StorageRequest& request,
                               std::chrono::milliseconds timeout,
                               TokenQuorum& quorum) {
  bool complete = false;
  const auto replies = CallWithCurrentList(
      fiber, request, timeout,
      [this, &program](const StorageList& list) {
        const auto sets = list.ReplicasOf(program, tolerated_losses_);
        ReplicaClient::Plan plan;
        plan.targets = replicas_.SortByPreference(MembersIn(list, sets));
        plan.initial_targets =
            list.changing() ? plan.targets.size() : sets.front().quorum;
        return plan;
      },
      [this, &program, &complete](const StorageList& list,
                                  const StorageReplies& it) {
        complete = HasQuorums(list.ReplicasOf(program, tolerated_losses_), it);
        return complete;
      });
  for (const auto& [disk, reply] : replies) {
    if (reply.status == StorageStatus::kDone) {
      quorum.AddAnswer(reply.uses);
    }
  }
  return complete;
}

// Two rounds make this safe without a leader. The first stores the reservation
// on a quorum, the second reads a quorum, and the reservation is granted only
// by what the quorum reports then. Of all granted reservations, the one stored
// last therefore sees every other. One round is enough if
// TokenQuorum::Decides() returns true, as it does for a program whose turns do
// not overlap.
StorageClient::Reservation StorageClient::Reserve(
    Fiber& fiber,
    const TokenUse& use,
    std::int64_t budget,
    std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  Reservation out;
  TokenQuorum quorum;
  StorageRequest store;
  store.operation = StorageOperation::kStore;
  store.program = use.program;
  const auto queued = settlements_.ForProgram(use.program);
  store.uses = queued;
  store.uses.push_back(use);
  bool certain = CallQuorum(fiber, use.program, store, timeout, quorum);
  if (certain) {
    settlements_.Remove(queued);
  }
  if (certain && !quorum.IsDecided(use.request)) {
    out.rounds = 2;
    StorageRequest read;
    read.operation = StorageOperation::kUses;
    read.program = use.program;
    certain = CallQuorum(fiber, use.program, read,
                         std::chrono::ceil<std::chrono::milliseconds>(
                             deadline - std::chrono::steady_clock::now()),
                         quorum);
  }
  const auto& ledger = quorum.ledger();
  if (certain) {
    out.used = ledger.total_without(use.request);
    const auto held = ledger.ReservedByOthers(use, kMaxHeldAge);
    if (out.used + use.tokens <= budget) {
      out.outcome = ReserveOutcome::kGranted;
    } else if (out.used - held + use.tokens <= budget) {
      out.outcome = ReserveOutcome::kHeld;
    } else {
      out.outcome = ReserveOutcome::kSpent;
    }
  }
  out.last_server = ledger.LastServer();
  out.program_age = ledger.ProgramAgeAt(use);
  out.is_first =
      std::all_of(ledger.uses().begin(), ledger.uses().end(),
                  [&use](const auto& it) { return it.first == use.request; });
  if (out.outcome != ReserveOutcome::kGranted) {
    auto released = use;
    released.tokens = 0;
    released.settled = true;
    Settle(released);
  }
  return out;
}

// A request that used no tokens was refused. Its settlement is sent at once,
// because the client is likely to retry soon through another daemon and must
// find the budget free.
void StorageClient::Settle(TokenUse use) {
  use.settled = true;
  if (use.tokens == 0) {
    SendSettlements({use}, false);
    return;
  }
  const auto request = use.request;
  if (!settlements_.Add(std::move(use), std::chrono::steady_clock::now())) {
    log_.Write("settlement_lost", request,
               {{"outcome", "settlement queue is full"}});
  }
}

void StorageClient::Run(Fiber& fiber) {
  for (;;) {
    fiber.Sleep(kSettlementInterval);
    const auto due = settlements_.TakeDue(std::chrono::steady_clock::now());
    if (!due.empty()) {
      SendSettlements(due, false);
    }
  }
}

void StorageClient::SendQueuedSettlements() {
  const auto queued = settlements_.TakeDue(TimePoint::max());
  if (!queued.empty()) {
    SendSettlements(queued, false);
  }
}

void StorageClient::SendSettlements(const std::vector<TokenUse>& uses,
                                    bool to_all_replicas) {
  const auto list = view_.storage_list();
  std::map<std::string, StorageRequest> by_disk;
  for (const auto& use : uses) {
    for (const auto& set : list.ReplicasOf(use.program, tolerated_losses_)) {
      // Every quorum that is read later shares a disk with this quorum.
      auto members = replicas_.SortByPreference(MembersIn(list, {set}));
      const auto count = to_all_replicas ? members.size()
                                         : std::min(set.quorum, members.size());
      for (std::size_t n = 0; n < count; ++n) {
        by_disk[members[n].disk].uses.push_back(use);
      }
    }
  }
  for (auto& [disk, request] : by_disk) {
    const auto* member = list.Find(disk);
    ++sent_settlements_;
    loop_.Spawn([this, request = std::move(request), target = *member,
                 to_all_replicas](Fiber& child) mutable {
      StorageReply reply;
      const bool answered =
          replicas_.CallOne(child, target, request, kSettlementTimeout, reply);
      --sent_settlements_;
      if (answered) {
        return;
      }
      // A lost settlement is safe: the tokens stay reserved.
      const bool retry = !to_all_replicas && replicas_.TakeRetry();
      log_.Write(
          "settlement_lost", "",
          {{"peer", target.vm},
           {"uses", static_cast<int>(request.uses.size())},
           {"outcome", retry ? "retried on all replicas" : "not delivered"}});
      if (retry) {
        SendSettlements(request.uses, true);
      }
    });
  }
}

// Orders the disks by a hash of the turn's id, which spreads turns over them.
// The replicas of the program's budget come before the other disks, and
// SortByPreference() then puts near disks that answer first.
ReplicaClient::Plan StorageClient::PlanForTurn(const StorageList& list,
                                               const TurnRecord& turn,
                                               const TokenUse& use) const {
  const auto replica_disks =
      list.ReplicasOf(use.program, tolerated_losses_).back().disks;
  auto members = list.Writable();
  const auto seed = Hash64(turn.id);
  std::sort(members.begin(), members.end(),
            [seed](const auto& a, const auto& b) {
              return Hash64(a.disk, seed) > Hash64(b.disk, seed);
            });
  std::stable_partition(
      members.begin(), members.end(), [&replica_disks](const auto& it) {
        return std::find(replica_disks.begin(), replica_disks.end(), it.disk) !=
               replica_disks.end();
      });
  ReplicaClient::Plan plan;
  plan.targets = replicas_.SortByPreference(std::move(members));
  plan.initial_targets = static_cast<std::size_t>(tolerated_losses_) + 1;
  return plan;
}

struct StorageClient::PendingSettlement {
  explicit PendingSettlement(Loop& loop) : changed(loop) {}
  Condition changed;
  bool ended = false;
  bool certain = false;
};

std::shared_ptr<StorageClient::PendingSettlement>
StorageClient::BeginSettlement(const TokenUse& use,
                               const ReplicaClient::Plan& plan,
                               std::chrono::milliseconds timeout) {
  StorageReplies expected;
  for (std::size_t n = 0;
       n < std::min(plan.initial_targets, plan.targets.size()); ++n) {
    expected[plan.targets[n].disk] = {};
  }
  const auto sets =
      view_.storage_list().ReplicasOf(use.program, tolerated_losses_);
  if (use.request.empty() || HasQuorums(sets, expected)) {
    return nullptr;
  }
  auto settlement = std::make_shared<PendingSettlement>(loop_);
  loop_.Spawn([this, settlement, use, timeout](Fiber& child) {
    StorageRequest request;
    request.operation = StorageOperation::kStore;
    request.uses = {use};
    TokenQuorum ignored;
    settlement->certain =
        CallQuorum(child, use.program, request, timeout, ignored);
    settlement->ended = true;
    settlement->changed.NotifyAll();
  });
  return settlement;
}

// The caller may send the complete turn to the client once this returns. The
// settled use is stored along with the turn: whatever daemon dies afterwards,
// the tokens used stay known and the unused ones are free.
StorageClient::StoreTurnResult StorageClient::StoreTurn(
    Fiber& fiber,
    const TurnRecord& turn,
    const TokenUse& use,
    const std::vector<std::string>& chain,
    std::chrono::milliseconds timeout) {
  StorageRequest request;
  request.operation = StorageOperation::kStore;
  request.turns = {turn};
  if (!use.request.empty()) {
    request.uses = {use};
  }
  request.ids = chain;
  request.keep_until = turn.expires_at;
  const auto copies = static_cast<std::size_t>(tolerated_losses_) + 1;
  const auto settlement = BeginSettlement(
      use, PlanForTurn(view_.storage_list(), turn, use), timeout);
  const auto replies = CallWithCurrentList(
      fiber, request, timeout,
      [this, &turn, &use](const StorageList& list) {
        return PlanForTurn(list, turn, use);
      },
      [copies](const StorageList& list, const StorageReplies& it) {
        return !list.members.empty() && CountAllDone(it) >= copies;
      });
  StoreTurnResult out;
  out.durable = CountAllDone(replies) >= copies;
  if (settlement) {
    settlement->changed.WaitUntil(fiber, timeout,
                                  [&settlement] { return settlement->ended; });
    out.settled = settlement->certain;
  } else {
    out.settled = HasQuorums(
        view_.storage_list().ReplicasOf(use.program, tolerated_losses_),
        replies);
  }
  if (out.durable) {
    cache_.Put(turn);
    cache_.Expire(std::chrono::milliseconds(0), cache_bytes_);
  }
  return out;
}

}  // namespace comfreyfold
