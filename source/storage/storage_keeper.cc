#include "storage/storage_keeper.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "core/hash.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kStepEvery{250};
// Disks that start together come within some tenths of a second.
constexpr std::chrono::milliseconds kGather{400};
constexpr std::chrono::milliseconds kProbeTimeout{700};
constexpr std::chrono::milliseconds kCopyTimeout{2000};
// All parts of what a disk copies, from a member that answers slowly.
constexpr std::chrono::milliseconds kLongestCopy{10000};
// A change whose disks do not all copy in this time may wait for a dead one.
constexpr std::chrono::milliseconds kChangeStalls{2500};
// Turns asked for at once; the reply is cut by bytes as well.
constexpr std::size_t kFetchIds = 500;

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
    if (list.IsNext(self_.disk) && !copied) {
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
  if (!list.IsMember(self_.disk) && !list.IsNext(self_.disk)) {
    return;
  }
  // One that is only slow must not make all others begin anew.
  const auto alive = Reachable(fiber, list.next, kCopyTimeout);
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
  if (!CopyUses(fiber, list) ||
      (!list.OnlyJoins() && !CopyTurns(fiber, list))) {
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

// Asks a member of the list, which is told of the list first if need be.
bool StorageKeeper::AskWithEpoch(Fiber& fiber,
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
bool StorageKeeper::CopyUses(Fiber& fiber, const StorageList& list) {
  if (uses_copied_epoch_ != list.epoch) {
    uses_copied_epoch_ = list.epoch;
    uses_copied_from_ = {self_.disk};
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
           list.AnswersForAbsence(tolerated_losses_);
  };
  copies->changed.WaitUntil(fiber, kLongestCopy,
                            [this, &list, &copies, &enough] {
                              return enough() || copies->under_way == 0 ||
                                     view_.storage().epoch != list.epoch;
                            });
  return uses_copied_epoch_ == list.epoch && enough();
}

// A part after the other: neither side has to hold all at once.
bool StorageKeeper::CopyUsesOf(Fiber& fiber,
                               const StorageList& list,
                               const StorageMember& member) {
  StorageRequest request;
  request.operation = StorageOperation::kSomeUses;
  request.epoch = list.epoch;
  request.ids = {self_.disk};
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

bool StorageKeeper::AskHolders(Fiber& fiber,
                               const StorageList& list,
                               Holders& holders) {
  StorageRequest request;
  request.operation = StorageOperation::kDigest;
  request.epoch = list.epoch;
  const auto all = list.All();
  ReplicaCalls::Plan plan;
  for (const auto& it : all) {
    if (it.disk != self_.disk) {
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
                        return it.disk == self_.disk ||
                               (reply != replies.end() &&
                                reply->second.status == StorageStatus::kDone);
                      });
    return static_cast<std::size_t>(answered) >=
           list.AnswersForAbsence(tolerated_losses_);
  };
  const auto replies = replicas_.Ask(fiber, plan, request, enough);
  for (std::size_t n = 0; n < all.size(); ++n) {
    const auto reply = replies.find(all[n].disk);
    if (all[n].disk == self_.disk) {
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
bool StorageKeeper::CopyTurns(Fiber& fiber, const StorageList& list) {
  Holders holders;
  if (!AskHolders(fiber, list, holders)) {
    return false;
  }
  const auto all = list.All();
  const auto copies = static_cast<std::size_t>(tolerated_losses_) + 1;
  std::map<std::size_t, std::vector<std::string>> wanted;  // Ids, by source.
  for (const auto& [id, disks] : holders) {
    std::vector<std::string> lacking;
    std::size_t held = 0;
    for (std::size_t n = 0; n < all.size(); ++n) {
      if (!list.IsNext(all[n].disk)) {
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
      if (order[n] == self_.disk) {
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

bool StorageKeeper::Fetch(Fiber& fiber,
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
