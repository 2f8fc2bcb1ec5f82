// The part of StorageClient that loads and stores turns.

#include <algorithm>
#include <map>
#include <utility>

#include "core/hash.h"
#include "storage/replica_replies.h"
#include "storage/storage_client.h"

namespace comfreyfold {

namespace {

// Bytes of turns that are sent to a disk in one request.
constexpr std::size_t kMaxRequestBytes = 256 * 1024;
// Pause before a turn is sent to the disks again; it grows with each try.
constexpr std::chrono::milliseconds kStoreRetryPause{50};
constexpr std::chrono::milliseconds kMaxStoreRetryPause{250};
// Least time for sending the turns before it to disks that lack them.
constexpr std::chrono::milliseconds kMinCompletionTime{300};
// A settlement that takes longer is sent again later, so that the end of a
// stored turn need not wait for it.
constexpr std::chrono::milliseconds kMaxSettlementWait{1500};
constexpr const char* kNoRoom = "no_room";

// Returns null if no disk refused.
const char* RefusalIn(const StorageReplies& replies) {
  const char* out = nullptr;
  for (const auto& [disk, reply] : replies) {
    if (reply.status == StorageStatus::kFailed) {
      out = reply.overfull ? kNoRoom : "not_written";
    }
  }
  return out;
}

}  // namespace

bool StorageClient::IsAbsent(const StorageList& list,
                             const StorageReplies& replies) const {
  // A disk that was dropped from the change may have had the other copies.
  const int losses = list.recopies ? 0 : tolerated_losses_;
  const auto certain = [&](const std::vector<StorageMember>& members) {
    return CountAbsentReplies(members, replies) >=
           StorageList::AnswersToProveAbsence(members, losses);
  };
  return !list.members.empty() && certain(list.members) &&
         (!list.changing() || certain(list.next));
}

std::vector<TurnRecord> StorageClient::LoadTurns(Fiber& fiber,
                                                 const std::string& turn,
                                                 TimePoint deadline,
                                                 Tristate& found) {
  std::vector<TurnRecord> chain;
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
        fiber, request, TimeLeft(deadline),
        [this](const StorageList& list, const MemberTest& is_behind) {
          ReplicaClient::Plan plan;
          plan.targets = replicas_.SpreadOverDataCentres(list.AllMembers());
          std::erase_if(plan.targets, is_behind);
          return plan;
        },
        [this](const StorageList& list, const StorageReplies& it) {
          return IsAbsent(list, it) ||
                 std::any_of(it.begin(), it.end(), [](const auto& reply) {
                   return !reply.second.turns.empty();
                 });
        });
    const auto reply =
        std::find_if(replies.begin(), replies.end(),
                     [](const auto& it) { return !it.second.turns.empty(); });
    if (reply == replies.end()) {
      // If only older turns of the chain are missing, the requested turn
      // exists, so the chain does not count as absent.
      if (chain.empty() && IsAbsent(view_.storage_list(), replies)) {
        found = Tristate::kNo;
      }
      log_.Write("chain_missing", "",
                 {{"turn", next_turn},
                  {"answers", static_cast<int>(replies.size())},
                  {"certain", found == Tristate::kNo ? 1 : 0}});
      return {};
    }
    for (const auto& it : reply->second.turns) {
      cache_.Put(it);
    }
    if (cache_.Find(next_turn) == nullptr) {
      return {};
    }
  }
  found = Tristate::kYes;
  cache_.Expire(std::chrono::milliseconds(0), cache_bytes_);
  return chain;
}

LoadedChain StorageClient::LoadChain(Fiber& fiber,
                                     const std::string& turn,
                                     std::chrono::milliseconds timeout) {
  LoadedChain out;
  const auto chain = LoadTurns(
      fiber, turn, std::chrono::steady_clock::now() + timeout, out.found);
  for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
    out.bytes += it->input;
    out.bytes += it->output;
  }
  for (const auto& it : chain) {
    out.turns.push_back(it.id);
  }
  return out;
}

// Orders the disks by a hash of the chain's first turn, which spreads chains
// over them and keeps the turns of a chain together. The replicas of the
// program's budget come before the other disks, and SortByPreference() then
// puts near disks that answer first.
ReplicaClient::Plan StorageClient::PlanForTurn(const StorageList& list,
                                               const std::string& id,
                                               const std::string& root,
                                               const TokenUse& use) const {
  const auto replica_disks =
      list.ReplicasOf(use.program, tolerated_losses_).back().disks;
  auto members = list.Writable();
  const auto seed = Hash64(root);
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
  plan.targets = SortByRoom(replicas_.SortByPreference(std::move(members)),
                            RoomWanted(id == root));
  plan.initial_targets = static_cast<std::size_t>(tolerated_losses_) + 1;
  return plan;
}

std::shared_ptr<StorageClient::PendingStore> StorageClient::BeginSettlement(
    const TokenUse& use,
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
  return BeginStoreUse(use, timeout);
}

bool StorageClient::SendTurns(Fiber& fiber,
                              const StorageMember& member,
                              const std::vector<const TurnRecord*>& turns,
                              std::chrono::milliseconds until,
                              TimePoint deadline) {
  StorageRequest request;
  request.operation = StorageOperation::kStore;
  request.epoch = view_.storage_list().epoch;
  std::size_t bytes = 0;
  for (std::size_t n = 0; n < turns.size(); ++n) {
    request.turns.push_back(*turns[n]);
    request.turns.back().expires_at = until;
    bytes += turns[n]->bytes();
    if (bytes < kMaxRequestBytes && n + 1 < turns.size()) {
      continue;
    }
    StorageReply reply;
    const auto left = TimeLeft(deadline);
    if (left.count() <= 0 ||
        !replicas_.CallOne(fiber, member, request, left, reply) ||
        reply.status != StorageStatus::kDone) {
      return false;
    }
    request.turns.clear();
    bytes = 0;
  }
  return true;
}

std::size_t StorageClient::CompleteChain(Fiber& fiber,
                                         const TurnRecord& turn,
                                         const StorageReplies& replies,
                                         TimePoint deadline) {
  std::size_t whole = 0;
  std::map<std::string, std::vector<std::string>> lacking;  // Ids by disk.
  for (const auto& [disk, reply] : replies) {
    if (reply.status != StorageStatus::kDone) {
      continue;
    }
    if (reply.ids.empty()) {
      ++whole;
    } else {
      lacking[disk] = reply.ids;
    }
  }
  const auto wanted = static_cast<std::size_t>(tolerated_losses_) + 1;
  if (whole >= wanted || lacking.empty()) {
    return whole;
  }
  auto found = Tristate::kUnknown;
  const auto chain = LoadTurns(fiber, turn.parent, deadline, found);
  for (const auto& [disk, ids] : lacking) {
    const auto list = view_.storage_list();
    const auto* member = list.Find(disk);
    if (chain.empty() || member == nullptr) {
      continue;
    }
    std::vector<const TurnRecord*> turns;
    for (const auto& it : chain) {
      if (std::find(ids.begin(), ids.end(), it.id) != ids.end()) {
        turns.push_back(&it);
      }
    }
    const bool sent =
        turns.size() == ids.size() &&
        SendTurns(fiber, *member, turns, turn.expires_at, deadline);
    whole += sent ? 1 : 0;
    log_.Write("chain_copied", turn.id,
               {{"peer", member->vm},
                {"turns", static_cast<int>(ids.size())},
                {"outcome", sent ? "stored" : "failed"}});
  }
  return whole;
}

// The caller may send the complete turn to the client once this returns. The
// settled use is stored along with the turn: whatever daemon dies afterwards,
// the tokens used stay known and the unused ones are free.
//
// A try also ends early, for instance because this daemon takes disks that have
// not answered for a while for unreachable ones. That is right for a request
// that can be refused, but a turn that has run would be lost with it.
StorageClient::StoreTurnResult StorageClient::StoreTurn(
    Fiber& fiber,
    TurnRecord turn,
    const TokenUse& use,
    const std::vector<std::string>& chain,
    std::chrono::milliseconds timeout,
    const std::function<bool()>& abandoned) {
  const auto start = std::chrono::steady_clock::now();
  const auto deadline = start + timeout;
  const auto settle_until = std::min(deadline, start + kMaxSettlementWait);
  const auto root = chain.empty() ? turn.id : chain.back();
  StorageRequest request;
  request.operation = StorageOperation::kStore;
  request.keep_until = turn.expires_at;
  request.turns.push_back(std::move(turn));
  if (!use.request.empty()) {
    request.uses = {use};
  }
  request.ids = chain;
  const auto settlement = BeginSettlement(
      use,
      PlanForTurn(view_.storage_list(), request.turns.front().id, root, use),
      TimeLeft(settle_until));
  StoreTurnResult out;
  StorageReplies replies;
  while (!out.durable && TimeLeft(deadline).count() > 0 &&
         (out.tries == 0 || !abandoned())) {
    if (out.tries > 0) {
      fiber.Sleep(std::min({kStoreRetryPause * out.tries, kMaxStoreRetryPause,
                            TimeLeft(deadline)}));
    }
    ++out.tries;
    out.durable = TryStoreTurn(fiber, request, root, use, deadline, replies);
    out.answers = static_cast<int>(CountAllDone(replies));
    if (const auto* reason = RefusalIn(replies)) {
      out.refusal = reason;
    } else if (!out.durable && HasDiskWithoutRoom()) {
      out.refusal = kNoRoom;  // That disk was not asked.
    }
  }
  if (settlement) {
    settlement->changed.WaitUntil(
        fiber, std::max(TimeLeft(settle_until), std::chrono::milliseconds(0)),
        [&settlement] { return settlement->ended; });
    out.settled = settlement->stored;
  } else {
    out.settled = HasQuorums(
        view_.storage_list().ReplicasOf(use.program, tolerated_losses_),
        replies);
  }
  if (out.durable) {
    cache_.Put(std::move(request.turns.front()));
    cache_.Expire(std::chrono::milliseconds(0), cache_bytes_);
  }
  return out;
}

bool StorageClient::TryStoreTurn(Fiber& fiber,
                                 StorageRequest& request,
                                 const std::string& root,
                                 const TokenUse& use,
                                 TimePoint deadline,
                                 StorageReplies& replies) {
  const auto copies = static_cast<std::size_t>(tolerated_losses_) + 1;
  replies = CallWithCurrentList(
      fiber, request, TimeLeft(deadline),
      [this, &id = request.turns.front().id, &root, &use](
          const StorageList& list, const MemberTest& is_behind) {
        auto plan = PlanForTurn(list, id, root, use);
        std::erase_if(plan.targets, is_behind);
        return plan;
      },
      [copies](const StorageList& list, const StorageReplies& it) {
        return !list.members.empty() && CountAllDone(it) >= copies;
      });
  if (CountAllDone(replies) < copies) {
    return false;
  }
  // A disk that is slow now is avoided by the next try, which needs time too.
  const auto now = std::chrono::steady_clock::now();
  const auto try_until =
      std::min(deadline, now + std::max<TimePoint::duration>(
                                   kMinCompletionTime, (deadline - now) / 2));
  return CompleteChain(fiber, request.turns.front(), replies, try_until) >=
         copies;
}

}  // namespace comfreyfold
