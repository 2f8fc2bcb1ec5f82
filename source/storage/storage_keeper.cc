#include "storage/storage_keeper.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kStepEvery{250};
// Disks that start together come within some tenths of a second.
constexpr std::chrono::milliseconds kGather{400};
constexpr std::chrono::milliseconds kProbeTimeout{700};
// A disk that a change waits for is dead when it has not answered by then.
constexpr std::chrono::milliseconds kDeadAfter{2000};
// A change whose disks do not all copy in this time may wait for a dead one.
constexpr std::chrono::milliseconds kChangeStalls{2500};

// Copying is work for all members: after failures it is tried less often.
constexpr std::chrono::milliseconds kLongestCopyPause{1000};

// Disks that have copied at the same moment propose one after the other.
constexpr std::chrono::milliseconds kProposeSpread{100};

std::chrono::milliseconds CopyPause(int failures) {
  return std::min(kLongestCopyPause,
                  kStepEvery * (1 << std::min(failures, 3)) / 2);
}

std::vector<std::string> Missing(const std::vector<StorageMember>& members,
                                 const std::vector<StorageMember>& present) {
  std::vector<std::string> out;
  for (const auto& it : members) {
    if (std::none_of(present.begin(), present.end(), [&it](const auto& other) {
          return other.disk == it.disk;
        })) {
      out.push_back(it.disk);
    }
  }
  return out;
}

}  // namespace

StorageKeeper::StorageKeeper(Loop& loop,
                             HttpClient& http,
                             KvStore& store,
                             FleetView& view,
                             StorageNode& node,
                             DecisionLog& log,
                             StorageMember self,
                             int tolerated_losses,
                             bool may_found)
    : loop_(loop),
      store_(store),
      view_(view),
      node_(node),
      log_(log),
      self_(std::move(self)),
      tolerated_losses_(tolerated_losses),
      may_found_(may_found),
      replicas_(loop, http, self_.data_centre),
      copier_(loop, view, node, replicas_, self_.disk, tolerated_losses),
      wake_(loop),
      draw_(std::random_device{}()) {
  view_.OnChange([this] { wake_.NotifyAll(); });
}

void StorageKeeper::Leave(std::function<void(Fiber&)> on_empty) {
  leaving_ = true;
  on_empty_ = std::move(on_empty);
  wake_.NotifyAll();
}

void StorageKeeper::Run(Fiber& fiber) {
  while (!stopped_) {
    try {
      Step(fiber);
    } catch (const KvUnavailable& e) {
      log_.Write("member_change_delayed", "", {{"reason", e.what()}});
      fiber.Sleep(kStepEvery);
    }
    wake_.Wait(fiber, kStepEvery);
  }
}

void StorageKeeper::Step(Fiber& fiber) {
  const auto& list = view_.storage();
  if (list.version == 0) {
    Found(fiber);
    return;
  }
  if (list.changing()) {
    if (list.epoch != changing_version_) {
      changing_version_ = list.epoch;
      changing_since_ = std::chrono::steady_clock::now();
    }
    const bool copied = std::find(list.synced.begin(), list.synced.end(),
                                  self_.disk) != list.synced.end();
    if (list.IsNextMember(self_.disk) && !copied) {
      Synchronize(fiber);
    } else if (std::chrono::steady_clock::now() - changing_since_ >
               kChangeStalls) {
      DropDead(fiber);
    }
    return;
  }
  if (announced_ && list.IsMember(self_.disk)) {
    Withdraw(fiber);
    announced_ = false;
  }
  if (leaving_) {
    LeaveList(fiber);
  } else if (!list.IsMember(self_.disk)) {
    Join(fiber);
  }
}

bool StorageKeeper::Propose(Fiber& fiber,
                            const StorageList& list,
                            const char* reason) {
  const auto item = store_.Get(fiber, kStorageListKey);
  if (item) {
    const auto current = DecodeStorageList(item->value);
    if (current.version >= list.version) {
      node_.Adopt(current);
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
              {"outcome", done ? "in force" : "another change came first"}});
  if (done) {
    node_.Adopt(list);
  }
  return done;
}

void StorageKeeper::Found(Fiber& fiber) {
  const auto item = store_.Get(fiber, kStorageListKey);
  if (item) {
    node_.Adopt(DecodeStorageList(item->value));
    return;
  }
  if (!may_found_) {
    return;
  }
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  list.members = {self_};
  Propose(fiber, list, "first start");
}

std::vector<StorageMember> StorageKeeper::Reachable(
    Fiber& fiber,
    const std::vector<StorageMember>& members,
    std::chrono::milliseconds timeout) {
  StorageRequest request;
  request.operation = StorageOperation::kAdopt;
  request.members = view_.storage();
  ReplicaCalls::Plan plan;
  for (const auto& it : members) {
    if (it.disk != self_.disk) {
      plan.targets.push_back(it);
    }
  }
  plan.first_wave = plan.targets.size();
  plan.timeout = timeout;
  const auto replies =
      replicas_.Ask(fiber, plan, request, [&plan](const StorageReplies& it) {
        return it.size() == plan.targets.size();
      });
  std::vector<StorageMember> out;
  for (const auto& it : members) {
    const auto reply = replies.find(it.disk);
    const bool answers =
        reply != replies.end() && reply->second.status == StorageStatus::kDone;
    if (it.disk == self_.disk || answers) {
      out.push_back(it);
    }
  }
  return out;
}

bool StorageKeeper::EnoughOf(
    const std::vector<StorageMember>& members,
    const std::vector<StorageMember>& reachable) const {
  return reachable.size() + static_cast<std::size_t>(tolerated_losses_) >=
         members.size();
}

// Disks that join at the same moment come in by one change: each leaves its
// name first, and whoever proposes takes all names along.
void StorageKeeper::Join(Fiber& fiber) {
  if (!announced_) {
    Announce(fiber);
    announced_ = true;
    fiber.Sleep(kGather);
    return;
  }
  const auto list = view_.storage();
  const auto reachable = Reachable(fiber, list.members, kProbeTimeout);
  if (!EnoughOf(list.members, reachable)) {
    log_.Write("join_delayed", "",
               {{"members", static_cast<int>(list.members.size())},
                {"reachable", static_cast<int>(reachable.size())}});
    fiber.Sleep(kStepEvery);
    return;
  }
  Propose(fiber,
          list.WithChange(Reachable(fiber, Announced(fiber), kProbeTimeout),
                          Missing(list.members, reachable)),
          "join");
}

void StorageKeeper::Announce(Fiber& fiber) {
  StorageList name;
  name.members = {self_};
  KvTxn txn;
  txn.puts = {{kJoiningPrefix + self_.disk, Encode(name)}};
  store_.Commit(fiber, txn);
}

std::vector<StorageMember> StorageKeeper::Announced(Fiber& fiber) {
  std::vector<StorageMember> out{self_};
  for (const auto& it : store_.Prefix(fiber, kJoiningPrefix).items) {
    const auto name = DecodeStorageList(it.value);
    if (!name.members.empty() && name.members.front().disk != self_.disk) {
      out.push_back(name.members.front());
    }
  }
  return out;
}

// Its name is not needed any more, and must not bring it back later.
void StorageKeeper::Withdraw(Fiber& fiber) {
  KvTxn txn;
  txn.deletes = {{kJoiningPrefix + self_.disk, ""}};
  store_.Commit(fiber, txn);
}

void StorageKeeper::LeaveList(Fiber& fiber) {
  const auto list = view_.storage();
  if (!list.IsMember(self_.disk)) {
    if (on_empty_) {
      on_empty_(fiber);
      on_empty_ = nullptr;
    }
    return;
  }
  const auto reachable = Reachable(fiber, list.members, kProbeTimeout);
  auto gone = Missing(list.members, reachable);
  gone.push_back(self_.disk);
  const auto left = list.members.size() - gone.size();
  if (!EnoughOf(list.members, reachable) ||
      left < static_cast<std::size_t>(tolerated_losses_) + 1) {
    log_.Write("leave_delayed", "",
               {{"members", static_cast<int>(list.members.size())},
                {"left", static_cast<int>(left)}});
    fiber.Sleep(kStepEvery);
    return;
  }
  Propose(fiber, list.WithChange({}, gone), "leave");
}

// Starts the change over without the disks that do not answer.
void StorageKeeper::DropDead(Fiber& fiber) {
  const auto list = view_.storage();
  if (!list.IsMember(self_.disk) && !list.IsNextMember(self_.disk)) {
    return;
  }
  // One that is only slow must not make all others begin anew.
  const auto alive = Reachable(fiber, list.next, kDeadAfter);
  changing_since_ = std::chrono::steady_clock::now();
  if (alive.size() == list.next.size() ||
      alive.size() < static_cast<std::size_t>(tolerated_losses_) + 1) {
    return;
  }
  StorageList out;
  out.version = list.version + 1;
  out.epoch = list.epoch + 1;
  out.members = list.members;
  out.next = alive;
  Propose(fiber, out, "change without the dead");
}

void StorageKeeper::Synchronize(Fiber& fiber) {
  const auto list = view_.storage();
  const auto start = std::chrono::steady_clock::now();
  if (!copier_.Copy(fiber, list)) {
    ++copies_failed_;
    const auto pause = CopyPause(copies_failed_);
    log_.Write("copy_delayed", "",
               {{"list_version", list.version}, {"pause_ms", pause}});
    fiber.Sleep(pause);
    return;
  }
  copies_failed_ = 0;
  log_.Write("copied", "",
             {{"epoch", list.epoch},
              {"turns", static_cast<int>(node_.turns().size())},
              {"programs", static_cast<int>(node_.tokens().size())},
              {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::steady_clock::now() - start)}});
  // Others do the same at this moment: the list may have moved on.
  while (view_.storage().epoch == list.epoch &&
         !Propose(fiber, view_.storage().WithSynced(self_.disk), "copied")) {
    fiber.Sleep(std::chrono::milliseconds(draw_() % kProposeSpread.count()));
  }
}

}  // namespace comfreyfold
