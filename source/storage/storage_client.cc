#include "storage/storage_client.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// How often due settlements are looked for.
constexpr std::chrono::milliseconds kSettleEvery{100};
constexpr std::chrono::milliseconds kSettleTimeout{1000};
// Of the time in which unused budget has to be free again, what a settlement
// waits for the program's next reservation: most follow within half a second.
constexpr int kSettleWaitPercent = 40;
// A reservation that is older and not settled may be a dead daemon's: it counts
// as spent. Longer than most turns, shorter than their time limits.
constexpr std::chrono::milliseconds kLongestHeld{2000};
// The list may change while a request is on its way, rarely twice.
constexpr int kMostListChanges = 4;

std::size_t Done(const StorageReplies& replies,
                 const std::vector<std::string>& disks) {
  return static_cast<std::size_t>(
      std::count_if(disks.begin(), disks.end(), [&replies](const auto& disk) {
        const auto it = replies.find(disk);
        return it != replies.end() && it->second.status == StorageStatus::kDone;
      }));
}

std::size_t DoneOverall(const StorageReplies& replies) {
  return static_cast<std::size_t>(std::count_if(
      replies.begin(), replies.end(),
      [](const auto& it) { return it.second.status == StorageStatus::kDone; }));
}

// A replica has another list: no use to wait for the others, of which one may
// be dead.
bool OtherEpoch(const StorageReplies& replies) {
  return std::any_of(replies.begin(), replies.end(), [](const auto& it) {
    return it.second.status == StorageStatus::kOldEpoch ||
           it.second.status == StorageStatus::kNewEpoch;
  });
}

std::vector<StorageMember> MembersOf(const StorageList& list,
                                     const std::vector<ReplicaSet>& sets) {
  std::vector<StorageMember> out;
  for (const auto& member : list.AllMembers()) {
    const bool named =
        std::any_of(sets.begin(), sets.end(), [&member](const auto& set) {
          return std::find(set.disks.begin(), set.disks.end(), member.disk) !=
                 set.disks.end();
        });
    if (named) {
      out.push_back(member);
    }
  }
  return out;
}

bool HasQuorums(const std::vector<ReplicaSet>& sets,
                const StorageReplies& replies) {
  return !sets.empty() &&
         std::all_of(sets.begin(), sets.end(), [&replies](const auto& set) {
           return Done(replies, set.disks) >= set.quorum;
         });
}

std::size_t AbsentAnswers(const std::vector<StorageMember>& members,
                          const StorageReplies& replies) {
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&replies](const auto& m) {
        const auto it = replies.find(m.disk);
        return it != replies.end() && it->second.whole &&
               it->second.status == StorageStatus::kDone &&
               it->second.turns.empty();
      }));
}

}  // namespace

StorageClient::StorageClient(Loop& loop,
                             HttpClient& http,
                             FleetView& view,
                             DecisionLog& log,
                             std::string data_centre,
                             int tolerated_losses,
                             std::size_t cache_bytes,
                             std::chrono::milliseconds settle_within)
    : loop_(loop),
      view_(view),
      log_(log),
      replicas_(loop, http, std::move(data_centre)),
      tolerated_losses_(tolerated_losses),
      cache_bytes_(cache_bytes),
      settling_(settle_within * kSettleWaitPercent / 100) {
  replicas_.RelayBy([this] { return view_.daemons(); });
  replicas_.OnReachable([this](const StorageMember& member, bool answered) {
    log_.Write(answered ? "storage_regained" : "storage_lost", "",
               {{"peer", member.vm}, {"address", member.address}});
  });
}

bool StorageClient::Outdated(Fiber& fiber, const StorageReplies& replies) {
  bool out = false;
  for (const auto& [disk, reply] : replies) {
    if (reply.members) {
      out = view_.ApplyStorage(*reply.members) || out;
    }
  }
  for (const auto& [disk, reply] : replies) {
    const auto* member = view_.storage().Find(disk);
    if (reply.status != StorageStatus::kNewEpoch || member == nullptr) {
      continue;
    }
    // It has not heard of the list from the key-value service yet.
    StorageRequest adopt;
    adopt.operation = StorageOperation::kAdopt;
    adopt.members = view_.storage();
    StorageReply ignored;
    out =
        replicas_.AskOne(fiber, *member, adopt, kSettleTimeout, ignored) || out;
  }
  return out;
}

StorageReplies StorageClient::AskCurrent(
    Fiber& fiber,
    StorageRequest request,
    std::chrono::milliseconds timeout,
    const std::function<ReplicaCalls::Plan(const StorageList&)>& plan,
    const std::function<bool(const StorageList&, const StorageReplies&)>&
        enough) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  for (int n = 0;; ++n) {
    const auto list = view_.storage();
    request.epoch = list.epoch;
    auto asked = plan(list);
    asked.timeout = std::chrono::ceil<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    auto replies =
        replicas_.Ask(fiber, asked, request, [&](const StorageReplies& it) {
          return enough(list, it) || OtherEpoch(it);
        });
    if (enough(list, replies) || n == kMostListChanges ||
        std::chrono::steady_clock::now() >= until) {
      return replies;
    }
    // Another request may have brought the newer list meanwhile.
    if (!Outdated(fiber, replies) && view_.storage().epoch == list.epoch) {
      return replies;
    }
  }
}

bool StorageClient::Absent(const StorageList& list,
                           const StorageReplies& replies) const {
  const auto certain = [&](const std::vector<StorageMember>& members) {
    return AbsentAnswers(members, replies) >=
           StorageList::AnswersToProveAbsence(members, tolerated_losses_);
  };
  return !list.members.empty() && certain(list.members) &&
         (!list.changing() || certain(list.next));
}

LoadedChain StorageClient::LoadChain(Fiber& fiber,
                                     const std::string& turn,
                                     std::chrono::milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  LoadedChain out;
  std::vector<TurnRecord> chain;  // Newest first.
  std::string wanted = turn;
  while (!wanted.empty()) {
    if (const auto* known = cache_.Find(wanted)) {
      chain.push_back(*known);
      wanted = known->parent;
      continue;
    }
    StorageRequest request;
    request.operation = StorageOperation::kChain;
    request.ids = {wanted};
    const auto replies = AskCurrent(
        fiber, request,
        std::chrono::ceil<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now()),
        [this](const StorageList& list) {
          ReplicaCalls::Plan plan;
          plan.targets = replicas_.InOrder(list.AllMembers());
          return plan;
        },
        [this](const StorageList& list, const StorageReplies& it) {
          return Absent(list, it) ||
                 std::any_of(it.begin(), it.end(), [](const auto& reply) {
                   return !reply.second.turns.empty();
                 });
        });
    const auto found =
        std::find_if(replies.begin(), replies.end(),
                     [](const auto& it) { return !it.second.turns.empty(); });
    if (found == replies.end()) {
      // A chain of which only the beginning is missing is not absent.
      if (chain.empty() && Absent(view_.storage(), replies)) {
        out.found = Certainty::kNo;
      }
      log_.Write("chain_missing", "",
                 {{"turn", wanted},
                  {"answers", static_cast<int>(replies.size())},
                  {"certain", out.found == Certainty::kNo ? 1 : 0}});
      return out;
    }
    for (const auto& it : found->second.turns) {
      cache_.Put(it);
    }
    if (cache_.Find(wanted) == nullptr) {
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
  out.found = Certainty::kYes;
  return out;
}

bool StorageClient::AskQuorum(Fiber& fiber,
                              const std::string& program,
                              const StorageRequest& request,
                              std::chrono::milliseconds timeout,
                              TokenQuorum& quorum) {
  bool complete = false;
  const auto replies = AskCurrent(
      fiber, request, timeout,
      [this, &program](const StorageList& list) {
        const auto sets = list.ReplicasOf(program, tolerated_losses_);
        ReplicaCalls::Plan plan;
        plan.targets = replicas_.InOrder(MembersOf(list, sets));
        plan.first_wave =
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

// Two rounds make this safe without a leader. A reservation is granted only
// by what a quorum says after a quorum has it on disk: of all reservations
// that are granted, the one that was stored last sees every other. One round
// is enough where TokenQuorum says so: for a program whose turns follow each
// other.
StorageClient::Reservation StorageClient::Reserve(
    Fiber& fiber,
    const TokenUse& use,
    std::int64_t budget,
    std::chrono::milliseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  Reservation out;
  TokenQuorum quorum;
  StorageRequest store;
  store.operation = StorageOperation::kStore;
  store.program = use.program;
  const auto told = settling_.ForProgram(use.program);
  store.uses = told;
  store.uses.push_back(use);
  bool certain = AskQuorum(fiber, use.program, store, timeout, quorum);
  if (certain) {
    settling_.Remove(told);
  }
  if (certain && !quorum.IsDecided(use.request)) {
    out.rounds = 2;
    StorageRequest read;
    read.operation = StorageOperation::kUses;
    read.program = use.program;
    certain = AskQuorum(fiber, use.program, read,
                        std::chrono::ceil<std::chrono::milliseconds>(
                            until - std::chrono::steady_clock::now()),
                        quorum);
  }
  const auto& ledger = quorum.ledger();
  if (certain) {
    out.used = ledger.total_without(use.request);
    const auto held = ledger.ReservedByOthers(use, kLongestHeld);
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
    auto unused = use;
    unused.tokens = 0;
    unused.settled = true;
    Settle(unused);
  }
  return out;
}

// A request that used nothing was refused: its client is likely to come back
// soon, through another daemon, and must find the budget free.
void StorageClient::Settle(TokenUse use) {
  use.settled = true;
  if (use.tokens == 0) {
    SendSettlements({use}, false);
    return;
  }
  const auto request = use.request;
  if (!settling_.Add(std::move(use), std::chrono::steady_clock::now())) {
    log_.Write("settlement_lost", request, {{"outcome", "queue is full"}});
  }
}

void StorageClient::Run(Fiber& fiber) {
  for (;;) {
    fiber.Sleep(kSettleEvery);
    const auto due = settling_.TakeDue(std::chrono::steady_clock::now());
    if (!due.empty()) {
      SendSettlements(due, false);
    }
  }
}

void StorageClient::SendSettlements(const std::vector<TokenUse>& uses,
                                    bool to_all) {
  const auto list = view_.storage();
  std::map<std::string, StorageRequest> by_disk;
  for (const auto& use : uses) {
    for (const auto& set : list.ReplicasOf(use.program, tolerated_losses_)) {
      // A quorum that knows it is met by every reader.
      auto members = replicas_.InOrder(MembersOf(list, {set}));
      const auto count =
          to_all ? members.size() : std::min(set.quorum, members.size());
      for (std::size_t n = 0; n < count; ++n) {
        by_disk[members[n].disk].uses.push_back(use);
      }
    }
  }
  for (auto& [disk, request] : by_disk) {
    const auto* member = list.Find(disk);
    loop_.Spawn([this, request = std::move(request), target = *member,
                 to_all](Fiber& child) mutable {
      StorageReply reply;
      if (replicas_.AskOne(child, target, request, kSettleTimeout, reply)) {
        return;
      }
      // What is lost leaves tokens reserved, which is safe.
      const bool again = !to_all && replicas_.MayRepeat();
      log_.Write("settlement_lost", "",
                 {{"peer", target.vm},
                  {"uses", static_cast<int>(request.uses.size())},
                  {"outcome", again ? "sent to all replicas" : "given up"}});
      if (again) {
        SendSettlements(request.uses, true);
      }
    });
  }
}

// Spread by key, but the nearest first, and of these the ones that decide on
// the program's budget.
ReplicaCalls::Plan StorageClient::PlanOfTurn(const StorageList& list,
                                             const TurnRecord& turn,
                                             const TokenUse& use) const {
  const auto deciding =
      list.ReplicasOf(use.program, tolerated_losses_).back().disks;
  auto members = list.Writable();
  const auto seed = Hash64(turn.id);
  std::sort(members.begin(), members.end(),
            [seed](const auto& a, const auto& b) {
              return Hash64(a.disk, seed) > Hash64(b.disk, seed);
            });
  std::stable_partition(
      members.begin(), members.end(), [&deciding](const auto& it) {
        return std::find(deciding.begin(), deciding.end(), it.disk) !=
               deciding.end();
      });
  ReplicaCalls::Plan plan;
  plan.targets = replicas_.InOrder(std::move(members));
  plan.first_wave = static_cast<std::size_t>(tolerated_losses_) + 1;
  return plan;
}

struct StorageClient::Settling {
  explicit Settling(Loop& loop) : changed(loop) {}
  Condition changed;
  bool ended = false;
  bool certain = false;
};

std::shared_ptr<StorageClient::Settling> StorageClient::BeginSettling(
    const TokenUse& use,
    const ReplicaCalls::Plan& plan,
    std::chrono::milliseconds timeout) {
  StorageReplies expected;
  for (std::size_t n = 0; n < std::min(plan.first_wave, plan.targets.size());
       ++n) {
    expected[plan.targets[n].disk] = {};
  }
  const auto sets = view_.storage().ReplicasOf(use.program, tolerated_losses_);
  if (use.request.empty() || HasQuorums(sets, expected)) {
    return nullptr;
  }
  auto settling = std::make_shared<Settling>(loop_);
  loop_.Spawn([this, settling, use, timeout](Fiber& child) {
    StorageRequest request;
    request.operation = StorageOperation::kStore;
    request.uses = {use};
    TokenQuorum ignored;
    settling->certain =
        AskQuorum(child, use.program, request, timeout, ignored);
    settling->ended = true;
    settling->changed.NotifyAll();
  });
  return settling;
}

// The client may have all of the turn once this returns: from then on its
// tokens are known whatever dies, and what it did not use is free.
StorageClient::KeptTurn StorageClient::StoreTurn(
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
  const auto settling =
      BeginSettling(use, PlanOfTurn(view_.storage(), turn, use), timeout);
  const auto replies = AskCurrent(
      fiber, request, timeout,
      [this, &turn, &use](const StorageList& list) {
        return PlanOfTurn(list, turn, use);
      },
      [copies](const StorageList& list, const StorageReplies& it) {
        return !list.members.empty() && DoneOverall(it) >= copies;
      });
  KeptTurn out;
  out.kept = DoneOverall(replies) >= copies;
  if (settling) {
    settling->changed.WaitUntil(fiber, timeout,
                                [&settling] { return settling->ended; });
    out.settled = settling->certain;
  } else {
    out.settled = HasQuorums(
        view_.storage().ReplicasOf(use.program, tolerated_losses_), replies);
  }
  if (out.kept) {
    cache_.Put(turn);
    cache_.Expire(std::chrono::milliseconds(0), cache_bytes_);
  }
  return out;
}

}  // namespace comfreyfold
