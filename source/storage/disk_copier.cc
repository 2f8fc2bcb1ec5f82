#include "storage/disk_copier.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <utility>

namespace comfreyfold {

namespace {

// For one request; long enough for a member with an overloaded CPU.
constexpr std::chrono::milliseconds kRequestTimeout{2000};
// For copying all uses, which takes several requests; long enough for members
// that answer slowly.
constexpr std::chrono::milliseconds kMaxCopyTime{10000};
// Turns per request. The replying node also limits the bytes of a reply.
constexpr std::size_t kMaxTurnsPerFetch = 500;
// Disks that turns are fetched from at the same time.
constexpr std::size_t kMaxParallelFetches = 3;
// Turns that the plan looks at before other requests are answered.
constexpr std::size_t kMaxTurnsPerStep = 1000;
// Bytes of turns per request that this disk sends.
constexpr std::size_t kMaxSentBytes = 256 * 1024;

// Adds the time of its life to `total`.
class StepTime {
 public:
  explicit StepTime(std::chrono::milliseconds& total) : total_(total) {}
  ~StepTime() {
    total_ += std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start_);
  }
  StepTime(const StepTime&) = delete;
  StepTime& operator=(const StepTime&) = delete;

 private:
  std::chrono::milliseconds& total_;
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

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

// If turns cannot lack copies, only token uses have to be copied, because the
// replica sets of programs change.
//
// A disk that was dropped while it did not answer may return with turns that
// no other disk has copied.
//
// Records count as copied once they are known, so that a slow disk does not
// make the copy start over. All of them are on the disk before this ends.
bool DiskCopier::Copy(Fiber& fiber, const StorageList& list) {
  const bool returns = !list.IsMember(disk_) && node_.turns().size() > 0;
  const bool copies_turns = list.MayLackCopies(tolerated_losses_) || returns;
  progress_ = {};
  if (!CopyUses(fiber, list) || (copies_turns && !CopyTurns(fiber, list))) {
    return false;
  }
  const StepTime time(progress_.sync_time);
  return node_.AwaitDurable(fiber);
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

// Waiting for a disk that was replaced would be in vain. Unless all others have
// answered, one of them may have the last copy of a record.
bool DiskCopier::IsEnough(const StorageList& list,
                          const std::set<std::string>& answered,
                          const std::set<std::string>& replaced) const {
  std::size_t told = 0;
  std::size_t gone = 0;
  for (const auto& it : list.members) {
    const bool has_told = answered.count(it.disk) > 0;
    told += has_told ? 1 : 0;
    gone += !has_told && replaced.count(it.disk) > 0 ? 1 : 0;
  }
  return told >= list.AnswersToProveAbsence(tolerated_losses_) ||
         told + gone == list.members.size();
}

// Copies from all members in parallel, so that a dead or slow member does not
// delay the others. A member whose uses have been copied completely is not
// asked again in the same epoch.
bool DiskCopier::CopyUses(Fiber& fiber, const StorageList& list) {
  const StepTime time(progress_.uses_time);
  if (uses_copied_epoch_ != list.epoch) {
    uses_copied_epoch_ = list.epoch;
    uses_copied_from_ = {disk_};
    replaced_disks_.clear();
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
    return IsEnough(list, uses_copied_from_, replaced_disks_);
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
      if (reply.status == StorageStatus::kOtherDisk &&
          uses_copied_epoch_ == list.epoch) {
        replaced_disks_.insert(member.disk);
      }
      return false;
    }
    StorageRequest store_request;
    store_request.uses = std::move(reply.uses);
    progress_.uses += static_cast<int>(store_request.uses.size());
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

void DiskCopier::TakeDigest(std::size_t member,
                            const StorageReply& reply,
                            Digests& digests) {
  if (!reply.digest.empty()) {
    digests.by_member[member] = UnpackDigest(reply.digest);
    return;
  }
  auto& ids = digests.ids[member];
  auto& digest = digests.by_member[member];
  for (std::size_t n = 0; n < reply.ids.size(); ++n) {
    const auto key = TurnKey::Of(reply.ids[n]);
    const auto known = n < reply.expiries.size();
    digest.push_back(
        {key, known ? reply.expiries[n] : std::chrono::milliseconds(0)});
    ids.emplace(key, reply.ids[n]);
  }
  std::sort(digest.begin(), digest.end(),
            [](const auto& a, const auto& b) { return a.key < b.key; });
}

bool DiskCopier::FindHolders(Fiber& fiber,
                             const StorageList& list,
                             Digests& digests) {
  const StepTime time(progress_.digests_time);
  StorageRequest request;
  request.operation = StorageOperation::kDigest;
  request.packs = true;
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
    std::set<std::string> answered{disk_};
    std::set<std::string> replaced;
    for (const auto& [disk, reply] : replies) {
      if (reply.status == StorageStatus::kDone) {
        answered.insert(disk);
      } else if (reply.status == StorageStatus::kOtherDisk) {
        replaced.insert(disk);
      }
    }
    return IsEnough(list, answered, replaced);
  };
  // The disk that was dropped may have had one of the copies, and any other
  // disk the last one.
  const auto replies = replicas_.Call(
      fiber, plan, request, [&enough, &list, &plan](const StorageReplies& it) {
        return enough(it) &&
               (!list.recopies || it.size() == plan.targets.size());
      });
  if (list.recopies && AwaitsDigests(list, replies)) {
    return false;
  }
  for (std::size_t n = 0; n < all.size(); ++n) {
    const auto reply = replies.find(all[n].disk);
    if (all[n].disk == disk_) {
      digests.by_member[n] = node_.TurnsByKey();
    } else if (reply != replies.end() &&
               reply->second.status == StorageStatus::kDone) {
      digests.answered.insert(all[n].disk);
      TakeDigest(n, reply->second, digests);
      // Other requests are answered in between.
      fiber.Sleep(std::chrono::milliseconds(0));
    }
  }
  return enough(replies);
}

// A disk that is slow to store the list refuses to list its turns until then,
// and may have the last copy of some. So may one of the next set that does not
// answer, without which the change cannot end anyway. One that has not told
// after kMaxCopyTime counts as lost.
bool DiskCopier::AwaitsDigests(const StorageList& list,
                               const StorageReplies& replies) const {
  const bool refused =
      std::any_of(replies.begin(), replies.end(), [](const auto& it) {
        // An emptied disk answers as another one, now and later.
        return it.second.status != StorageStatus::kDone &&
               it.second.status != StorageStatus::kOtherDisk;
      });
  const bool silent = std::any_of(
      list.next.begin(), list.next.end(), [this, &replies](const auto& it) {
        return it.disk != disk_ && replies.count(it.disk) == 0;
      });
  return (refused || silent) &&
         std::chrono::steady_clock::now() - copy_started_at_ < kMaxCopyTime;
}

bool DiskCopier::CopyTurns(Fiber& fiber, const StorageList& list) {
  const auto copied = view_.storage_list().synced;
  Digests digests;
  if (!FindHolders(fiber, list, digests)) {
    return false;
  }
  std::set<std::string> reachable;
  for (const auto& it : copied) {
    if (digests.answered.count(it) > 0) {
      reachable.insert(it);
    }
  }
  CopyPlan plan(list, disk_, tolerated_losses_, reachable, attempts_++);
  for (auto& [member, digest] : digests.by_member) {
    plan.Add(member, std::move(digest));
  }
  MakePlan(fiber, plan);
  const StepTime time(progress_.turns_time);
  if (!FetchAll(fiber, list, plan, digests)) {
    return false;
  }
  const auto all = list.AllMembers();
  return std::all_of(
      plan.sends().begin(), plan.sends().end(), [&](const auto& it) {
        return SendTurns(fiber, list, *list.Find(all[it.first].disk),
                         node_.IdsOf(it.second));
      });
}

void DiskCopier::MakePlan(Fiber& fiber, CopyPlan& plan) {
  const StepTime time(progress_.plan_time);
  while (plan.Advance(kMaxTurnsPerStep)) {
    fiber.Sleep(std::chrono::milliseconds(0));
  }
}

// What one disk does not return must not keep the turns of the others from
// being copied.
bool DiskCopier::FetchAll(Fiber& fiber,
                          const StorageList& list,
                          const CopyPlan& plan,
                          const Digests& digests) {
  struct Fetches {
    explicit Fetches(Loop& loop) : changed(loop) {}
    Condition changed;
    std::size_t running = 0;
    bool failed = false;
  };
  const auto fetches = std::make_shared<Fetches>(loop_);
  const auto all = list.AllMembers();
  for (const auto& [source, keys] : plan.fetches()) {
    fetches->changed.WaitUntil(fiber, kMaxCopyTime, [&fetches] {
      return fetches->running < kMaxParallelFetches;
    });
    const auto ids = digests.ids.find(source);
    ++fetches->running;
    loop_.Spawn([this, fetches, from = all[source], wanted = keys,
                 ids = ids == digests.ids.end()
                           ? std::map<TurnKey, std::string>()
                           : ids->second](Fiber& fetch_fiber) {
      bool fetched = false;
      try {
        fetched = FetchTurns(fetch_fiber, from, wanted, ids);
      } catch (const std::exception&) {
        // The next try asks another disk.
        fetched = false;
      }
      fetches->failed = fetches->failed || !fetched;
      --fetches->running;
      fetches->changed.NotifyAll();
    });
  }
  return fetches->changed.WaitUntil(fiber, kMaxCopyTime, [&fetches] {
    return fetches->running == 0;
  }) && !fetches->failed;
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
                            std::vector<TurnKey> keys,
                            const std::map<TurnKey, std::string>& ids) {
  while (!keys.empty()) {
    StorageRequest request;
    request.operation = StorageOperation::kFetch;
    const auto n = std::min(kMaxTurnsPerFetch, keys.size());
    request.keys.assign(keys.end() - static_cast<std::ptrdiff_t>(n),
                        keys.end());
    for (const auto& it : request.keys) {
      if (const auto id = ids.find(it); id != ids.end()) {
        request.ids.push_back(id->second);
      }
    }
    if (!request.ids.empty()) {
      request.keys.clear();
    }
    StorageReply reply;
    if (!replicas_.CallOne(fiber, from, request, kRequestTimeout, reply) ||
        reply.status != StorageStatus::kDone) {
      return false;
    }
    std::set<TurnKey> fetched;
    for (const auto& it : reply.turns) {
      fetched.insert(TurnKey::Of(it.id));
    }
    // An incomplete reply was truncated by size, and the missing turns are
    // requested again. Turns missing from an empty reply have expired.
    const bool truncated = !reply.turns.empty() && fetched.size() < n;
    StorageRequest store_request;
    store_request.turns = std::move(reply.turns);
    progress_.turns += static_cast<int>(store_request.turns.size());
    if (!store_request.turns.empty() &&
        !node_.StoreCopied(fiber, std::move(store_request))) {
      return false;
    }
    if (truncated) {
      std::erase_if(
          keys, [&fetched](const auto& key) { return fetched.count(key) > 0; });
    } else {
      keys.resize(keys.size() - n);
    }
  }
  return true;
}

}  // namespace comfreyfold
