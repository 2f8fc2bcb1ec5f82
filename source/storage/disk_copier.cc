#include "storage/disk_copier.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// For one request; long enough for a member with an overloaded CPU.
constexpr std::chrono::milliseconds kRequestTimeout{2000};
// For copying all uses, which takes several requests; long enough for members
// that answer slowly.
constexpr std::chrono::milliseconds kMaxCopyTime{10000};
// Turns per request. The replying node also limits the bytes of a reply.
constexpr std::size_t kMaxTurnsPerFetch = 500;
// Bytes of turns per request that this disk sends.
constexpr std::size_t kMaxSentBytes = 256 * 1024;

}  // namespace

DiskCopier::DiskCopier(Loop& loop,
                       FleetView& view,
                       StorageNode& node,
                       ReplicaClient& replicas,
                       std::string disk,
                       int tolerated_losses)
    : loop_(loop),
      view_(view),
      node_(node),
      replicas_(replicas),
      disk_(std::move(disk)),
      tolerated_losses_(tolerated_losses) {}

// If no member leaves, nor a disk that was joining, each turn stays on enough
// disks. Only token uses have to
// be copied then, because the replica sets of programs change.
//
// A disk that was dropped while it did not answer may return with turns that
// no other disk has copied.
//
// Records count as copied once they are known, so that a slow disk does not
// make the copy start over. All of them are on the disk before this ends.
bool DiskCopier::Copy(Fiber& fiber, const StorageList& list) {
  const bool returns = !list.IsMember(disk_) && node_.turns().size() > 0;
  const bool copies_turns = !list.OnlyAddsMembers() || list.recopies || returns;
  return CopyUses(fiber, list) && (!copies_turns || CopyTurns(fiber, list)) &&
         node_.AwaitDurable(fiber);
}

bool DiskCopier::CallWithList(Fiber& fiber,
                              const StorageList& list,
                              const StorageMember& member,
                              const StorageRequest& request,
                              StorageReply& reply) {
  if (!replicas_.CallOne(fiber, member, request, kRequestTimeout, reply)) {
    return false;
  }
  if (reply.status == StorageStatus::kNewEpoch) {
    auto retry = request;
    retry.members = list;
    if (!replicas_.CallOne(fiber, member, retry, kRequestTimeout, reply)) {
      return false;
    }
  }
  return reply.status == StorageStatus::kDone;
}

// Copies from all members in parallel, so that a dead or slow member does not
// delay the others. A member whose uses have been copied completely is not
// asked again in the same epoch.
bool DiskCopier::CopyUses(Fiber& fiber, const StorageList& list) {
  if (uses_copied_epoch_ != list.epoch) {
    uses_copied_epoch_ = list.epoch;
    uses_copied_from_ = {disk_};
    uses_copied_up_to_.clear();
    copy_started_at_ = std::chrono::steady_clock::now();
  }
  struct CopyProgress {
    explicit CopyProgress(Loop& loop) : changed(loop) {}
    Condition changed;
    std::size_t running = 0;
  };
  auto copies = std::make_shared<CopyProgress>(loop_);
  for (const auto& member : list.members) {
    if (uses_copied_from_.count(member.disk) > 0) {
      continue;
    }
    ++copies->running;
    loop_.Spawn([this, copies, list, member](Fiber& copy_fiber) {
      if (CopyUsesOf(copy_fiber, list, member) &&
          uses_copied_epoch_ == list.epoch) {
        uses_copied_from_.insert(member.disk);
      }
      --copies->running;
      copies->changed.NotifyAll();
    });
  }
  const auto enough = [this, &list] {
    const auto answered =
        std::count_if(list.members.begin(), list.members.end(),
                      [this](const StorageMember& it) {
                        return uses_copied_from_.count(it.disk) > 0;
                      });
    return static_cast<std::size_t>(answered) >=
           list.AnswersToProveAbsence(tolerated_losses_);
  };
  copies->changed.WaitUntil(fiber, kMaxCopyTime,
                            [this, &list, &copies, &enough] {
                              return enough() || copies->running == 0 ||
                                     view_.storage_list().epoch != list.epoch;
                            });
  return uses_copied_epoch_ == list.epoch && enough();
}

// Copies page by page, so that neither side holds all uses in memory at once.
bool DiskCopier::CopyUsesOf(Fiber& fiber,
                            const StorageList& list,
                            const StorageMember& member) {
  StorageRequest request;
  request.operation = StorageOperation::kSomeUses;
  request.epoch = list.epoch;
  request.ids = {disk_};
  request.program = uses_copied_up_to_[member.disk];
  for (;;) {
    StorageReply reply;
    if (!CallWithList(fiber, list, member, request, reply)) {
      return false;
    }
    StorageRequest store_request;
    store_request.uses = std::move(reply.uses);
    const bool synced = store_request.uses.empty() ||
                        node_.StoreCopied(fiber, std::move(store_request));
    if (reply.ids.empty()) {
      return true;
    }
    request.program = reply.ids.front();
    if (uses_copied_epoch_ == list.epoch) {
      uses_copied_up_to_[member.disk] = request.program;
    }
    // Pages that are not synced wait in memory.
    if (!synced) {
      return false;
    }
  }
}

// The retention of a turn is extended on as many disks as a record needs, so
// other copies of it may expire early. They do not count.
void DiskCopier::DropShortLived(std::vector<TurnCopy>& copies) {
  // No value compares as less than any.
  const auto last = std::max_element(
      copies.begin(), copies.end(),
      [](const auto& a, const auto& b) { return a.expires_at < b.expires_at; });
  std::erase_if(copies, [until = last->expires_at](const auto& it) {
    return it.expires_at && it.expires_at < until;
  });
}

bool DiskCopier::FindHolders(Fiber& fiber,
                             const StorageList& list,
                             Holders& holders,
                             std::set<std::string>& answered) {
  StorageRequest request;
  request.operation = StorageOperation::kDigest;
  request.epoch = list.epoch;
  request.members = list;
  const auto all = list.AllMembers();
  ReplicaClient::Plan plan;
  for (const auto& it : all) {
    if (it.disk != disk_) {
      plan.targets.push_back(it);
    }
  }
  plan.initial_targets = plan.targets.size();
  plan.timeout = kRequestTimeout;
  const auto enough = [this, &list](const StorageReplies& replies) {
    const auto count =
        std::count_if(list.members.begin(), list.members.end(),
                      [this, &replies](const StorageMember& it) {
                        const auto reply = replies.find(it.disk);
                        return it.disk == disk_ ||
                               (reply != replies.end() &&
                                reply->second.status == StorageStatus::kDone);
                      });
    return static_cast<std::size_t>(count) >=
           list.AnswersToProveAbsence(tolerated_losses_);
  };
  // The disk that was dropped may have had one of the copies, and any other
  // disk the last one.
  const auto replies = replicas_.Call(
      fiber, plan, request, [&enough, &list, &plan](const StorageReplies& it) {
        return enough(it) &&
               (!list.recopies || it.size() == plan.targets.size());
      });
  if (list.recopies && AwaitsDigests(replies)) {
    return false;
  }
  for (std::size_t n = 0; n < all.size(); ++n) {
    const auto reply = replies.find(all[n].disk);
    if (all[n].disk == disk_) {
      for (const auto& id : node_.turns().Ids()) {
        holders[id].push_back({n, node_.turns().Find(id)->expires_at});
      }
    } else if (reply != replies.end() &&
               reply->second.status == StorageStatus::kDone) {
      answered.insert(all[n].disk);
      const auto& [ids, expiries] =
          std::tie(reply->second.ids, reply->second.expiries);
      for (std::size_t i = 0; i < ids.size(); ++i) {
        TurnCopy copy{n, {}};
        if (i < expiries.size()) {
          copy.expires_at = expiries[i];
        }
        holders[ids[i]].push_back(copy);
      }
    }
  }
  for (auto& [id, copies] : holders) {
    DropShortLived(copies);
  }
  return enough(replies);
}

// A disk that is slow to store the list refuses to list its turns until then,
// and may have the last copy of some. One that still refuses after
// kMaxCopyTime counts as lost.
bool DiskCopier::AwaitsDigests(const StorageReplies& replies) const {
  return std::chrono::steady_clock::now() - copy_started_at_ < kMaxCopyTime &&
         std::any_of(replies.begin(), replies.end(), [](const auto& it) {
           // An emptied disk answers as another one, now and later.
           return it.second.status != StorageStatus::kDone &&
                  it.second.status != StorageStatus::kOtherDisk;
         });
}

// Copies turns that have too few copies in the next set. The disks that receive
// the missing copies are chosen by rendezvous hashing of the turn's id, so that
// all disks choose the same ones independently, and fetch them. A disk that had
// copied before this one answered fetches no more, so this one sends it what it
// is the first to have.
bool DiskCopier::CopyTurns(Fiber& fiber, const StorageList& list) {
  const auto& current = view_.storage_list();
  const std::set<std::string> copied(current.synced.begin(),
                                     current.synced.end());
  Holders holders;
  std::set<std::string> answered;
  if (!FindHolders(fiber, list, holders, answered)) {
    return false;
  }
  const auto all = list.AllMembers();
  const auto copies = static_cast<std::size_t>(tolerated_losses_) + 1;
  // Maps the index of the source disk to the ids of the turns to fetch.
  std::map<std::size_t, std::vector<std::string>> turns_to_fetch;
  // The same by the disk that is to receive them.
  std::map<std::string, std::vector<std::string>> turns_to_send;
  for (const auto& [id, disks] : holders) {
    std::vector<std::string> missing;
    std::size_t held = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
      if (!list.IsNextMember(all[n].disk)) {
        continue;
      }
      if (std::any_of(disks.begin(), disks.end(),
                      [n](const auto& it) { return it.member == n; })) {
        ++held;
      } else {
        missing.push_back(all[n].disk);
      }
    }
    if (held >= copies) {
      continue;
    }
    const auto order = RendezvousOrder(id, std::move(missing));
    for (std::size_t n = 0; held + n < copies && n < order.size(); ++n) {
      if (order[n] == disk_) {
        turns_to_fetch[disks.front().member].push_back(id);
      }
    }
    if (all[disks.front().member].disk != disk_) {
      continue;
    }
    for (const auto& it : order) {
      if (held < copies && copied.count(it) > 0 && answered.count(it) > 0) {
        turns_to_send[it].push_back(id);
        ++held;
      }
    }
  }
  for (auto& [source, ids] : turns_to_fetch) {
    if (!FetchTurns(fiber, all[source], std::move(ids))) {
      return false;
    }
  }
  return std::all_of(
      turns_to_send.begin(), turns_to_send.end(), [&](const auto& it) {
        return SendTurns(fiber, list, *list.Find(it.first), it.second);
      });
}

bool DiskCopier::SendTurns(Fiber& fiber,
                           const StorageList& list,
                           const StorageMember& to,
                           const std::vector<std::string>& ids) {
  auto left = ids;
  while (!left.empty()) {
    StorageRequest request;
    request.epoch = list.epoch;
    const auto read =
        node_.ReadTurns(fiber, left, kMaxSentBytes, request.turns);
    StorageReply reply;
    if (!read || !CallWithList(fiber, list, to, request, reply)) {
      return false;
    }
    left.erase(left.begin(), left.begin() + static_cast<std::ptrdiff_t>(*read));
  }
  return true;
}

bool DiskCopier::FetchTurns(Fiber& fiber,
                            const StorageMember& from,
                            std::vector<std::string> ids) {
  while (!ids.empty()) {
    StorageRequest request;
    request.operation = StorageOperation::kFetch;
    const auto n = std::min(kMaxTurnsPerFetch, ids.size());
    request.ids.assign(ids.end() - static_cast<std::ptrdiff_t>(n), ids.end());
    StorageReply reply;
    if (!replicas_.CallOne(fiber, from, request, kRequestTimeout, reply) ||
        reply.status != StorageStatus::kDone) {
      return false;
    }
    std::set<std::string> fetched;
    for (const auto& it : reply.turns) {
      fetched.insert(it.id);
    }
    // An incomplete reply was truncated by size, and the missing turns are
    // requested again. Turns missing from an empty reply have expired.
    const bool truncated = !reply.turns.empty() && fetched.size() < n;
    StorageRequest store_request;
    store_request.turns = std::move(reply.turns);
    if (!store_request.turns.empty() &&
        !node_.StoreCopied(fiber, std::move(store_request))) {
      return false;
    }
    if (truncated) {
      std::erase_if(
          ids, [&fetched](const auto& id) { return fetched.count(id) > 0; });
    } else {
      ids.resize(ids.size() - n);
    }
  }
  return true;
}

}  // namespace comfreyfold
