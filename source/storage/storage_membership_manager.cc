#include "storage/storage_membership_manager.h"

#include <algorithm>
#include <utility>

#include "net/repeat.h"
#include "storage/replica_replies.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kStepInterval{250};
// Time between the announcement of a disk and its proposal to join. Disks that
// start together announce themselves within a few 100 ms and join in one
// change.
constexpr std::chrono::milliseconds kJoinGatherTime{400};
constexpr std::chrono::milliseconds kProbeTimeout{700};
// Time that a disk which a stalled change waits for has to answer one probe.
constexpr std::chrono::milliseconds kDeadTimeout{2000};
constexpr std::chrono::milliseconds kDeadProbePause{500};
// A change of which no disk gets done for longer may be waiting for a dead
// disk, so its disks are probed then.
constexpr std::chrono::milliseconds kChangeStallTime{2500};

// Copying loads all members, so the pause between attempts grows after
// failures.
constexpr std::chrono::milliseconds kMaxCopyPause{1000};

// Upper bound of the random pause before a proposal is repeated, so that disks
// that finish copying at the same moment do not conflict again.
constexpr std::chrono::milliseconds kMaxProposalDelay{100};

std::chrono::milliseconds CopyPause(int failures) {
  return std::min(kMaxCopyPause,
                  kStepInterval * (1 << std::min(failures, 3)) / 2);
}

// Names the VMs of `members`.
std::string VmsOf(const std::vector<StorageMember>& members) {
  std::string out;
  for (const auto& it : members) {
    out += (out.empty() ? "" : ",") + it.vm;
  }
  return out;
}

// Names the VMs of those of `members` that are not in `others`.
std::string VmsWithout(std::vector<StorageMember> members,
                       const std::vector<StorageMember>& others) {
  std::erase_if(members, [&others](const auto& it) {
    return std::find(others.begin(), others.end(), it) != others.end();
  });
  return VmsOf(members);
}

}  // namespace

StorageMembershipManager::StorageMembershipManager(
    Loop& loop,
    HttpClient& http,
    KvStore& store,
    FleetView& view,
    StorageNode& node,
    DecisionLog& log,
    StorageMember self,
    int tolerated_losses,
    std::chrono::milliseconds catch_up_time,
    bool may_create_list)
    : loop_(loop),
      store_(store),
      view_(view),
      node_(node),
      log_(log),
      self_(std::move(self)),
      may_create_list_(may_create_list),
      replicas_(loop, http, self_.data_centre),
      copier_(loop, view, node, replicas_, self_.disk, tolerated_losses),
      watch_(loop,
             view,
             log,
             replicas_,
             self_.disk,
             tolerated_losses,
             catch_up_time),
      prober_(http, view, replicas_, watch_.absence(), self_.disk),
      planner_(tolerated_losses),
      wake_(loop),
      random_(std::random_device{}()) {
  view_.OnChange([this] { wake_.NotifyAll(); });
  node_.OnPeerStop(
      [this](const std::string& disk) { watch_.ObserveStop(disk); });
}

void StorageMembershipManager::Stop() {
  stopped_ = true;
  watch_.Stop();
}

void StorageMembershipManager::Leave(std::function<void(Fiber&)> on_empty) {
  leaving_ = true;
  watch_.SetPaused(true);
  on_empty_ = std::move(on_empty);
  wake_.NotifyAll();
}

void StorageMembershipManager::Run(Fiber& fiber) {
  watching_ = true;
  loop_.Spawn([this](Fiber& watch_fiber) {
    watch_.Run(watch_fiber);
    watching_ = false;
    wake_.NotifyAll();
  });
  Repeat(fiber, "the change of storage members", [this, &fiber] {
    if (stopped_) {
      return false;
    }
    try {
      Step(fiber);
    } catch (const std::runtime_error& e) {
      // The service does not answer, or holds a list that cannot be read.
      log_.Write("member_change_delayed", "", {{"reason", e.what()}});
      fiber.Sleep(kStepInterval);
    }
    wake_.Wait(fiber, kStepInterval);
    return true;
  });
  while (watching_) {
    wake_.Wait(fiber, kStepInterval);
  }
}

void StorageMembershipManager::Step(Fiber& fiber) {
  const auto& list = view_.storage_list();
  if (list.version == 0) {
    CreateList(fiber);
    return;
  }
  if (list.changing()) {
    StepInChange(fiber);
    return;
  }
  change_epoch_ = 0;
  if (announced_ && list.IsMember(self_.disk)) {
    WithdrawAnnouncement(fiber);
    announced_ = false;
  }
  if (leaving_) {
    LeaveList(fiber);
  } else if (!list.IsMember(self_.disk)) {
    Join(fiber);
  } else if (watch_.absence().HasGone()) {
    RemoveAbsent(fiber);
  } else {
    delayed_since_ = {};
  }
}

// A disk that waits for the end of the change announces itself already: the
// change may need it in place of one that was lost.
void StorageMembershipManager::StepInChange(Fiber& fiber) {
  const auto& list = view_.storage_list();
  const auto now = std::chrono::steady_clock::now();
  delayed_since_ = {};
  if (list.epoch != change_epoch_) {
    change_epoch_ = list.epoch;
    change_began_at_ = now;
  }
  // Each version is a disk more that has copied.
  if (list.version != change_version_) {
    change_version_ = list.version;
    change_waits_since_ = now;
    prober_.Forget();
  }
  if (list.Find(self_.disk) == nullptr) {
    if (!leaving_) {
      AnnounceOnce(fiber);
    }
    return;
  }
  const auto copied = [this] {
    const auto& synced = view_.storage_list().synced;
    return std::find(synced.begin(), synced.end(), self_.disk) != synced.end();
  };
  if (list.IsNextMember(self_.disk) && !copied()) {
    Synchronize(fiber);
  }
  if (view_.storage_list().version == change_version_ &&
      std::chrono::steady_clock::now() - change_waits_since_ >
          kChangeStallTime) {
    RestartChange(fiber);
  }
}

std::chrono::milliseconds StorageMembershipManager::ChangeTime() const {
  return change_epoch_ == 0
             ? std::chrono::milliseconds(0)
             : std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now() - change_began_at_);
}

bool StorageMembershipManager::Propose(Fiber& fiber,
                                       const StorageList& list,
                                       const char* reason) {
  const auto item = store_.Get(fiber, kStorageListKey);
  if (item) {
    const auto current = DecodeStorageList(item->value);
    if (current.version >= list.version) {
      node_.Adopt(fiber, current);
      return false;
    }
  }
  KvTxn txn;
  txn.compares = {
      KvCompare::Unchanged(kStorageListKey, item ? item->mod_revision : 0)};
  txn.puts = {{kStorageListKey, Encode(list)}};
  const bool done = store_.Commit(fiber, txn).succeeded;
  log_.Write("members_proposed", "",
             {{"reason", reason},
              {"list_version", list.version},
              {"epoch", list.epoch},
              {"members", static_cast<int>(list.members.size())},
              {"next", static_cast<int>(list.next.size())},
              {"joins", VmsWithout(list.next, list.members)},
              {"leaves", list.changing() ? VmsWithout(list.members, list.next)
                                         : std::string()},
              {"outcome", done ? "in force" : "superseded by another change"}});
  if (done) {
    node_.Adopt(fiber, list);
  }
  return done;
}

void StorageMembershipManager::CreateList(Fiber& fiber) {
  const auto item = store_.Get(fiber, kStorageListKey);
  if (item) {
    node_.Adopt(fiber, DecodeStorageList(item->value));
    return;
  }
  if (!may_create_list_) {
    return;
  }
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  list.members = {self_};
  Propose(fiber, list, "first start");
}

void StorageMembershipManager::LogDelay(
    const char* event,
    const std::vector<StorageMember>& awaited,
    bool has_room) {
  const auto now = std::chrono::steady_clock::now();
  if (delayed_since_ == TimePoint{}) {
    delayed_since_ = now;
  }
  log_.Write(
      event, "",
      {{"members", static_cast<int>(view_.storage_list().members.size())},
       {"silent", static_cast<int>(prober_.silent())},
       {"room", has_room},
       {"awaited", VmsOf(awaited)},
       {"delayed_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - delayed_since_)}});
}

// Disks that start at the same time join in one change: each announces itself
// first, and the disk that proposes the change includes all announced disks.
void StorageMembershipManager::Join(Fiber& fiber) {
  if (!announced_) {
    AnnounceOnce(fiber);
    fiber.Sleep(kJoinGatherTime);
    return;
  }
  const auto list = view_.storage_list();
  const auto health = prober_.HealthOf(
      fiber, list.members, prober_.Probe(fiber, list.members, kProbeTimeout),
      /*has_list=*/false);
  const auto awaited = StorageChangePlanner::Awaited(list.members, health);
  if (!planner_.Join(list, health, {self_})) {
    LogDelay("join_delayed", awaited);
    fiber.Sleep(kStepInterval);
    return;
  }
  auto joining = JoiningDisks(fiber);
  joining.insert(joining.begin(), self_);
  Propose(fiber, *planner_.Join(list, health, joining), "join");
}

// The number of copies is short until the gone members are removed, so the room
// on the other disks is not asked for.
void StorageMembershipManager::RemoveAbsent(Fiber& fiber) {
  const auto list = view_.storage_list();
  const auto health = prober_.HealthForRemoval(
      list.members, prober_.Probe(fiber, list.members, kDeadTimeout));
  if (!planner_.Remove(list, health, {})) {
    LogDelay("removal_delayed",
             StorageChangePlanner::Awaited(list.members, health));
    fiber.Sleep(kDeadProbePause);
    return;
  }
  const auto change = planner_.Remove(list, health, JoiningDisks(fiber));
  Propose(fiber, *change, "removal of absent disks");
}

void StorageMembershipManager::AnnounceOnce(Fiber& fiber) {
  if (!announced_) {
    Announce(fiber);
    announced_ = true;
  }
}

void StorageMembershipManager::Announce(Fiber& fiber) {
  StorageList announcement;
  announcement.members = {self_};
  KvTxn txn;
  txn.puts = {{kJoiningPrefix + self_.disk, Encode(announcement)}};
  store_.Commit(fiber, txn);
}

// A disk whose VM is to be emptied joins by its own proposal only.
std::vector<StorageMember> StorageMembershipManager::JoiningDisks(
    Fiber& fiber) {
  std::vector<StorageMember> out;
  for (const auto& it : store_.Prefix(fiber, kJoiningPrefix).items) {
    try {
      const auto announcement = DecodeStorageList(it.value);
      if (!announcement.members.empty() &&
          announcement.members.front().disk != self_.disk &&
          view_.retiring().count(announcement.members.front().vm) == 0) {
        out.push_back(announcement.members.front());
      }
    } catch (const std::runtime_error& e) {
      // An entry that cannot be read must not keep the others from joining.
      log_.Write("announcement_refused", "",
                 {{"key", it.key}, {"reason", e.what()}});
    }
  }
  return prober_.ReachableMembers(fiber, out, kProbeTimeout);
}

// An announcement that remained would let another disk's proposal add this disk
// again after it has left.
void StorageMembershipManager::WithdrawAnnouncement(Fiber& fiber) {
  KvTxn txn;
  txn.deletes = {{kJoiningPrefix + self_.disk, ""}};
  store_.Commit(fiber, txn);
}

// The limit for new chains leaves room for what the others take over when a
// disk is lost, which is what they take over when it leaves. Beyond it, turns
// expire while new chains are refused.
bool StorageMembershipManager::HaveRoomForCopies(
    const StorageReplies& replies) const {
  return node_.Room() == DiskRoom::kNewChains &&
         std::all_of(replies.begin(), replies.end(), [](const auto& it) {
           return RoomIn(it.second) == DiskRoom::kNewChains;
         });
}

void StorageMembershipManager::LeaveList(Fiber& fiber) {
  const auto list = view_.storage_list();
  if (!list.IsMember(self_.disk)) {
    LeaveAsNonMember(fiber);
    return;
  }
  leave_proposed_ = false;
  const auto replies = prober_.Probe(fiber, list.members, kProbeTimeout);
  const auto health = prober_.HealthOf(fiber, list.members, replies,
                                       /*has_list=*/false);
  const auto change = planner_.Leave(list, health, self_.disk);
  const bool has_room = HaveRoomForCopies(replies);
  if (!change || !has_room) {
    LogDelay("leave_delayed",
             StorageChangePlanner::Awaited(list.members, health), has_room);
    fiber.Sleep(kStepInterval);
    return;
  }
  leave_proposed_ = Propose(fiber, *change, "leave");
}

// A disk that the VM had before may still be in the list, where it counts as
// lost, or too few others may be left. The others need this disk first then. If
// they have dropped it because it did not answer, it may have the last copy of
// a turn.
void StorageMembershipManager::LeaveAsNonMember(Fiber& fiber) {
  const auto& members = view_.storage_list().members;
  const bool lost_disk = std::any_of(
      members.begin(), members.end(),
      [this](const auto& it) { return it.address == self_.address; });
  const bool was_dropped = !leave_proposed_ && node_.turns().size() > 0;
  if (lost_disk || was_dropped || !planner_.IsEnough(members)) {
    Join(fiber);
  } else if (announced_) {
    WithdrawAnnouncement(fiber);
    announced_ = false;
  } else if (on_empty_) {
    on_empty_(fiber);
    on_empty_ = nullptr;
  }
}

// All disks copy again then, so a disk that is only slow must not count as
// dead. One that was replaced does not come back. A disk that has not copied
// may be slow itself, and leaves this to those that have unless they are all
// dead.
void StorageMembershipManager::RestartChange(Fiber& fiber) {
  const auto list = view_.storage_list();
  const auto all = list.AllMembers();
  auto health =
      prober_.HealthOf(fiber, all, prober_.Probe(fiber, all, kDeadTimeout),
                       /*has_list=*/true);
  const auto awaited = StorageChangePlanner::Awaited(list.next, health);
  const auto is_synced = [&list](const std::string& disk) {
    return std::find(list.synced.begin(), list.synced.end(), disk) !=
           list.synced.end();
  };
  if (awaited.empty()) {
    change_waits_since_ = std::chrono::steady_clock::now();
    return;
  }
  log_.Write("change_delayed", "",
             {{"epoch", list.epoch},
              {"awaited", VmsOf(awaited)},
              {"copied", static_cast<int>(list.synced.size())},
              {"next", static_cast<int>(list.next.size())},
              {"delayed_ms", ChangeTime()}});
  const bool has_done_disk =
      std::any_of(list.next.begin(), list.next.end(), [&](const auto& it) {
        return is_synced(it.disk) && health[it.disk] == DiskHealth::kAnswers;
      });
  const bool waits_to_copy =
      list.IsNextMember(self_.disk) && !is_synced(self_.disk);
  std::optional<StorageList> change;
  if (StorageChangePlanner::NeedsRestart(list, health) &&
      !(waits_to_copy && has_done_disk)) {
    change = planner_.Restart(list, health, JoiningDisks(fiber));
  }
  if (change) {
    Propose(fiber, *change, "change without unreachable disks");
  } else {
    fiber.Sleep(kDeadProbePause);
  }
}

void StorageMembershipManager::Synchronize(Fiber& fiber) {
  const auto list = view_.storage_list();
  const auto start = std::chrono::steady_clock::now();
  if (!copier_.Copy(fiber, list)) {
    ++failed_copies_;
    const auto pause = CopyPause(failed_copies_);
    log_.Write("copy_delayed", "",
               {{"list_version", list.version},
                {"pause_ms", pause},
                {"uses_ms", copier_.progress().uses_time},
                {"digests_ms", copier_.progress().digests_time},
                {"turns_ms", copier_.progress().turns_time},
                {"sync_ms", copier_.progress().sync_time}});
    fiber.Sleep(pause);
    return;
  }
  failed_copies_ = 0;
  log_.Write("copied", "",
             {{"epoch", list.epoch},
              {"turns", static_cast<int>(node_.turns().size())},
              {"programs", static_cast<int>(node_.tokens().size())},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::steady_clock::now() - start)},
              {"uses_received", copier_.progress().uses},
              {"turns_received", copier_.progress().turns},
              {"uses_ms", copier_.progress().uses_time},
              {"digests_ms", copier_.progress().digests_time},
              {"plan_ms", copier_.progress().plan_time},
              {"turns_ms", copier_.progress().turns_time},
              {"sync_ms", copier_.progress().sync_time}});
  // Other disks finish at the same time, so the proposal may lose against
  // theirs.
  while (
      view_.storage_list().epoch == list.epoch &&
      !Propose(fiber, view_.storage_list().WithSynced(self_.disk), "copied")) {
    fiber.Sleep(
        std::chrono::milliseconds(random_() % kMaxProposalDelay.count()));
  }
}

}  // namespace comfreyfold
