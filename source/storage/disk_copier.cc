#include "storage/disk_copier.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

// One part, from a member that is short of processor time.
constexpr std::chrono::milliseconds kCopyTimeout{2000};
// All parts of what a disk copies, from a member that answers slowly.
constexpr std::chrono::milliseconds kLongestCopy{10000};
// Turns asked for at once; the reply is cut by bytes as well.
constexpr std::size_t kFetchIds = 500;

}  // namespace

DiskCopier::DiskCopier(Loop& loop,
                       FleetView& view,
                       StorageNode& node,
                       ReplicaCalls& replicas,
                       std::string disk,
                       int tolerated_losses)
    : loop_(loop),
      view_(view),
      node_(node),
      replicas_(replicas),
      disk_(std::move(disk)),
      tolerated_losses_(tolerated_losses) {}

// Where none leaves, what lies on enough disks stays there: only the uses of
// programs move.
bool DiskCopier::Copy(Fiber& fiber, const StorageList& list) {
  return CopyUses(fiber, list) &&
         (list.OnlyAddsMembers() || CopyTurns(fiber, list));
}

// Asks a member of the list, which is told of the list first if need be.
bool DiskCopier::AskWithEpoch(Fiber& fiber,
                              const StorageList& list,
                              const StorageMember& member,
                              const StorageRequest& request,
                              StorageReply& reply) {
  if (!replicas_.AskOne(fiber, member, request, kCopyTimeout, reply)) {
    return false;
  }
  if (reply.status == StorageStatus::kNewEpoch) {
    auto again = request;
    again.members = list;
    if (!replicas_.AskOne(fiber, member, again, kCopyTimeout, reply)) {
      return false;
    }
  }
  return reply.status == StorageStatus::kDone;
}

// From all members side by side: with some of them dead or slow, the others
// are enough. What one has told once counts for as long as the list stays.
bool DiskCopier::CopyUses(Fiber& fiber, const StorageList& list) {
  if (uses_copied_epoch_ != list.epoch) {
    uses_copied_epoch_ = list.epoch;
    uses_copied_from_ = {disk_};
  }
  struct Copies {
    explicit Copies(Loop& loop) : changed(loop) {}
    Condition changed;
    std::size_t under_way = 0;
  };
  auto copies = std::make_shared<Copies>(loop_);
  for (const auto& member : list.members) {
    if (uses_copied_from_.count(member.disk) > 0) {
      continue;
    }
    ++copies->under_way;
    loop_.Spawn([this, copies, list, member](Fiber& child) {
      if (CopyUsesOf(child, list, member) && uses_copied_epoch_ == list.epoch) {
        uses_copied_from_.insert(member.disk);
      }
      --copies->under_way;
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
  copies->changed.WaitUntil(fiber, kLongestCopy,
                            [this, &list, &copies, &enough] {
                              return enough() || copies->under_way == 0 ||
                                     view_.storage().epoch != list.epoch;
                            });
  return uses_copied_epoch_ == list.epoch && enough();
}

// A part after the other: neither side has to hold all at once.
bool DiskCopier::CopyUsesOf(Fiber& fiber,
                            const StorageList& list,
                            const StorageMember& member) {
  StorageRequest request;
  request.operation = StorageOperation::kSomeUses;
  request.epoch = list.epoch;
  request.ids = {disk_};
  do {
    StorageReply reply;
    if (!AskWithEpoch(fiber, list, member, request, reply)) {
      return false;
    }
    StorageRequest keep;
    keep.uses = std::move(reply.uses);
    if (!keep.uses.empty() && !node_.Keep(fiber, std::move(keep))) {
      return false;
    }
    request.program = reply.ids.empty() ? "" : reply.ids.front();
  } while (!request.program.empty());
  return true;
}

bool DiskCopier::AskHolders(Fiber& fiber,
                            const StorageList& list,
                            Holders& holders) {
  StorageRequest request;
  request.operation = StorageOperation::kDigest;
  request.epoch = list.epoch;
  const auto all = list.AllMembers();
  ReplicaCalls::Plan plan;
  for (const auto& it : all) {
    if (it.disk != disk_) {
      plan.targets.push_back(it);
    }
  }
  plan.first_wave = plan.targets.size();
  plan.timeout = kCopyTimeout;
  const auto enough = [this, &list](const StorageReplies& replies) {
    const auto answered =
        std::count_if(list.members.begin(), list.members.end(),
                      [this, &replies](const StorageMember& it) {
                        const auto reply = replies.find(it.disk);
                        return it.disk == disk_ ||
                               (reply != replies.end() &&
                                reply->second.status == StorageStatus::kDone);
                      });
    return static_cast<std::size_t>(answered) >=
           list.AnswersToProveAbsence(tolerated_losses_);
  };
  const auto replies = replicas_.Ask(fiber, plan, request, enough);
  for (std::size_t n = 0; n < all.size(); ++n) {
    const auto reply = replies.find(all[n].disk);
    if (all[n].disk == disk_) {
      for (const auto& id : node_.turns().Ids()) {
        holders[id].push_back(n);
      }
    } else if (reply != replies.end() &&
               reply->second.status == StorageStatus::kDone) {
      for (const auto& id : reply->second.ids) {
        holders[id].push_back(n);
      }
    }
  }
  return enough(replies);
}

// Copies the turns of which the next set holds too few, each on as many of
// its disks as are lacking, drawn by the turn's id.
bool DiskCopier::CopyTurns(Fiber& fiber, const StorageList& list) {
  Holders holders;
  if (!AskHolders(fiber, list, holders)) {
    return false;
  }
  const auto all = list.AllMembers();
  const auto copies = static_cast<std::size_t>(tolerated_losses_) + 1;
  std::map<std::size_t, std::vector<std::string>> wanted;  // Ids, by source.
  for (const auto& [id, disks] : holders) {
    std::vector<std::string> lacking;
    std::size_t held = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
      if (!list.IsNextMember(all[n].disk)) {
        continue;
      }
      if (std::find(disks.begin(), disks.end(), n) != disks.end()) {
        ++held;
      } else {
        lacking.push_back(all[n].disk);
      }
    }
    if (held >= copies) {
      continue;
    }
    const auto order = RendezvousOrder(id, std::move(lacking));
    for (std::size_t n = 0; held + n < copies && n < order.size(); ++n) {
      if (order[n] == disk_) {
        wanted[disks.front()].push_back(id);
      }
    }
  }
  for (auto& [source, ids] : wanted) {
    if (!Fetch(fiber, all[source], std::move(ids))) {
      return false;
    }
  }
  return true;
}

bool DiskCopier::Fetch(Fiber& fiber,
                       const StorageMember& from,
                       std::vector<std::string> ids) {
  while (!ids.empty()) {
    StorageRequest request;
    request.operation = StorageOperation::kFetch;
    const auto n = std::min(kFetchIds, ids.size());
    request.ids.assign(ids.end() - static_cast<std::ptrdiff_t>(n), ids.end());
    StorageReply reply;
    if (!replicas_.AskOne(fiber, from, request, kCopyTimeout, reply)) {
      return false;
    }
    std::set<std::string> fetched;
    for (const auto& it : reply.turns) {
      fetched.insert(it.id);
    }
    // Turns that are not there any more have expired meanwhile.
    const bool cut = !reply.turns.empty() && fetched.size() < n;
    StorageRequest keep;
    keep.turns = std::move(reply.turns);
    if (!keep.turns.empty() && !node_.Keep(fiber, std::move(keep))) {
      return false;
    }
    if (cut) {
      std::erase_if(
          ids, [&fetched](const auto& id) { return fetched.count(id) > 0; });
    } else {
      ids.resize(ids.size() - n);
    }
  }
  return true;
}

}  // namespace comfreyfold
