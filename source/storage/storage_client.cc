#include "storage/storage_client.h"

#include <algorithm>
#include <set>
#include <utility>

#include "net/repeat.h"
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
// Younger uses are kept until the program can no longer return in any case, and
// some of them are on their way to further replicas.
constexpr std::chrono::milliseconds kMinCopyAge{10000};
// A disk that stores the list within this time is asked again with the others.
constexpr std::chrono::milliseconds kPromptListTime{50};

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
  replicas_.OnReply([this](const StorageMember& member,
                           const StorageReply& reply) {
    known_room_.Observe(member.disk, RoomIn(reply), reply.room_in,
                        std::chrono::steady_clock::now(), reply.new_chains_in);
  });
  replicas_.OnReachabilityChange(
      [this](const StorageMember& member, bool answered) {
        log_.Write(answered ? "storage_regained" : "storage_lost", "",
                   {{"peer", member.vm}, {"address", member.address}});
      });
}

struct StorageClient::SentList {
  explicit SentList(Loop& loop) : changed(loop) {}
  Condition changed;
  std::set<std::string> behind;  // Disks that have not adopted it yet.
  int under_way = 0;
  int adopted = 0;
};

bool StorageClient::TakeLists(const StorageReplies& replies) {
  bool out = false;
  for (const auto& [disk, reply] : replies) {
    if (reply.members) {
      out = view_.ApplyStorageList(*reply.members) || out;
    }
  }
  return out;
}

bool StorageClient::SendList(const StorageReplies& replies,
                             const std::shared_ptr<SentList>& sent) {
  bool out = false;
  for (const auto& [disk, reply] : replies) {
    const auto* member = view_.storage_list().Find(disk);
    if (reply.status != StorageStatus::kNewEpoch || member == nullptr ||
        !sent->behind.insert(disk).second) {
      continue;
    }
    out = true;
    ++sent->under_way;
    // The replica has not received the list from the key-value service yet.
    loop_.Spawn([this, sent, target = *member](Fiber& child) {
      StorageRequest adopt;
      adopt.operation = StorageOperation::kAdopt;
      adopt.members = view_.storage_list();
      StorageReply answer;
      if (replicas_.CallOne(child, target, adopt, kSettlementTimeout, answer) &&
          answer.status == StorageStatus::kDone) {
        sent->behind.erase(target.disk);
        ++sent->adopted;
      }
      --sent->under_way;
      sent->changed.NotifyAll();
    });
  }
  return out;
}

// A disk that is slow to store the list is left out until it has: the others
// may be enough. If they are not, or one of them is dead, the request is sent
// again as soon as the disk has the list.
StorageReplies StorageClient::CallWithCurrentList(
    Fiber& fiber,
    StorageRequest& request,
    std::chrono::milliseconds timeout,
    const PlanMaker& plan,
    const std::function<bool(const StorageList&, const StorageReplies&)>&
        enough) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  // The HTTP client takes 0 for no limit.
  const auto time_left = [deadline] {
    return std::max(TimeLeft(deadline), std::chrono::milliseconds(1));
  };
  auto sent = std::make_shared<SentList>(loop_);
  for (int list_changes = 0;;) {
    const auto list = view_.storage_list();
    const auto adopted_before = sent->adopted;
    request.epoch = list.epoch;
    auto current_plan = plan(list, [&sent](const StorageMember& it) {
      return sent->behind.count(it.disk) > 0;
    });
    current_plan.timeout = time_left();
    auto replies = replicas_.Call(
        fiber, current_plan, request, [&](const StorageReplies& it) {
          return enough(list, it) || HasOtherEpoch(it) ||
                 sent->adopted > adopted_before;
        });
    if (enough(list, replies) || std::chrono::steady_clock::now() >= deadline) {
      return replies;
    }
    // A concurrent request may have taken over the newer list.
    if (TakeLists(replies) || view_.storage_list().epoch != list.epoch) {
      if (++list_changes > kMaxListChanges) {
        return replies;
      }
      sent = std::make_shared<SentList>(loop_);
      continue;
    }
    const bool sent_now = SendList(replies, sent);
    sent->changed.WaitUntil(
        fiber, sent_now ? std::min(kPromptListTime, time_left()) : time_left(),
        [&sent, adopted_before] {
          return sent->adopted > adopted_before || sent->under_way == 0;
        });
    if (!sent_now && sent->adopted == adopted_before) {
      return replies;
    }
  }
}

bool StorageClient::CallQuorum(Fiber& fiber,
                               const std::string& program,
                               StorageRequest& request,
                               std::chrono::milliseconds timeout,
                               TokenQuorum& quorum) {
  bool complete = false;
  const auto replies = CallWithCurrentList(
      fiber, request, timeout,
      [this, &program](const StorageList& list, const MemberTest& is_behind) {
        const auto sets = list.ReplicasOf(program, tolerated_losses_);
        ReplicaClient::Plan plan;
        plan.targets = replicas_.SortByPreference(MembersIn(list, sets));
        std::erase_if(plan.targets, is_behind);
        plan.initial_targets = MoveQuorumsToFront(sets, plan.targets);
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
// TokenQuorum::IsDecided() returns true, as it does for a program whose turns
// do not overlap.
//
// Uses that a replica of the first quorum lacks are stored with the second
// round. Each use is then known to a quorum that also knows this reservation,
// and so is kept as long as it.
StorageClient::Reservation StorageClient::Reserve(
    Fiber& fiber,
    const TokenUse& use,
    std::int64_t budget,
    std::chrono::milliseconds timeout,
    const std::string& resumed_request) {
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
    read.uses = quorum.UsesToCopy(use, kMinCopyAge);
    if (!read.uses.empty()) {
      read.operation = StorageOperation::kStore;
      read.uses.push_back(use);
    }
    certain = CallQuorum(fiber, use.program, read, TimeLeft(deadline), quorum);
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
  out.resumed_use = ledger.UseOf(resumed_request);
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

std::shared_ptr<StorageClient::PendingStore> StorageClient::BeginStoreUse(
    const TokenUse& use,
    std::chrono::milliseconds timeout) {
  auto store = std::make_shared<PendingStore>(loop_);
  loop_.Spawn([this, store, use, timeout](Fiber& child) {
    StorageRequest request;
    request.operation = StorageOperation::kStore;
    request.uses = {use};
    TokenQuorum ignored;
    store->stored = CallQuorum(child, use.program, request, timeout, ignored);
    store->ended = true;
    store->changed.NotifyAll();
  });
  return store;
}

std::optional<TokenUse> StorageClient::FindUse(
    Fiber& fiber,
    const std::string& program,
    const std::string& request,
    std::chrono::milliseconds timeout) {
  StorageRequest read;
  read.operation = StorageOperation::kUses;
  read.program = program;
  TokenQuorum quorum;
  if (!CallQuorum(fiber, program, read, timeout, quorum)) {
    return std::nullopt;
  }
  return quorum.ledger().UseOf(request);
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
  RepeatForever(fiber, "the sending of settlements", [this, &fiber] {
    fiber.Sleep(kSettlementInterval);
    AskFullDisks();
    const auto due = settlements_.TakeDue(std::chrono::steady_clock::now());
    if (!due.empty()) {
      SendSettlements(due, false);
    }
  });
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
      if (answered && reply.status == StorageStatus::kDone) {
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

}  // namespace comfreyfold
