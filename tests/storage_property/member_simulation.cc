#include "storage_property/member_simulation.h"

#include <algorithm>
#include <utility>

#include "core/copy_plan.h"
#include "core/turn_digest.h"

namespace comfreyfold {

namespace {

constexpr int kLostMessagePercent = 10;
constexpr int kDeadAfter = 2;   // Unanswered probes.
constexpr int kGoneAfter = 5;   // The same.
constexpr int kStallSteps = 2;  // Without progress of a change.
constexpr int kSettleRounds = 60;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

MemberSimulation::MemberSimulation(std::size_t disks,
                                   int tolerated_losses,
                                   unsigned seed)
    : tolerated_(tolerated_losses), planner_(tolerated_losses), random_(seed) {
  for (std::size_t n = 0; n < disks; ++n) {
    AddVm();
    list_.members.push_back(MemberOf(vms_.back()));
  }
  list_.version = 1;
  list_.epoch = 1;
}

bool MemberSimulation::Chance(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

std::size_t MemberSimulation::Pick(std::size_t n) {
  return random_() % n;
}

StorageMember MemberSimulation::MemberOf(const Vm& vm) const {
  return {vm.disk, vm.name, "address-" + vm.name, "north"};
}

bool MemberSimulation::Reaches(const Vm& from, const Vm& to) const {
  return from.name == to.name || (CanAct(to) && !from.is_cut && !to.is_cut);
}

MemberSimulation::Vm* MemberSimulation::HolderOf(const std::string& disk) {
  const auto it = std::find_if(vms_.begin(), vms_.end(), [&disk](const Vm& vm) {
    return vm.exists && vm.disk == disk;
  });
  return it == vms_.end() ? nullptr : &*it;
}

void MemberSimulation::AddVm() {
  Vm vm;
  vm.name = "vm-" + std::to_string(names_);
  vm.disk = "disk-" + std::to_string(names_++);
  vms_.push_back(std::move(vm));
}

// Whether the list is that of all disks that work, so that what was lost before
// counts no more.
bool MemberSimulation::IsSettled() const {
  if (list_.changing()) {
    return false;
  }
  for (const auto& vm : vms_) {
    const bool is_member = list_.IsMember(vm.disk);
    if (CanAct(vm) && !vm.is_cut ? !is_member && !vm.is_leaving : is_member) {
      return false;
    }
  }
  return std::all_of(
      list_.members.begin(), list_.members.end(), [this](const auto& it) {
        return std::any_of(vms_.begin(), vms_.end(), [&it](const Vm& vm) {
          return vm.exists && vm.disk == it.disk;
        });
      });
}

void MemberSimulation::Stop(Vm& vm) {
  vm.runs = false;
  vm.list = {};
  vm.missed.clear();
  vm.has_announced = false;
  vm.has_left = false;
  vm.copied_epoch = 0;
}

void MemberSimulation::LoseDisk(Vm& vm) {
  Stop(vm);
  vm.runs = true;
  vm.disk = "disk-" + std::to_string(names_++);
  vm.turns.clear();
  vm.uses.clear();
}

void MemberSimulation::Disturb() {
  // A VM that is removed counts as lost until it has a successor.
  if (IsSettled()) {
    lost_ = missing_;
    for (const auto& it : vms_) {
      lost_ += it.exists && (!it.runs || it.is_cut) ? 1 : 0;
    }
  }
  auto& vm = vms_[Pick(vms_.size())];
  if (!vm.exists) {
    return;
  }
  if (!vm.runs || vm.is_cut) {
    vm.runs = true;
    vm.is_cut = false;
    return;
  }
  const auto kind = Pick(7);
  if (kind == 0) {
    AddVm();
    missing_ -= missing_ > 0 ? 1 : 0;
  } else if (kind == 1) {
    vm.is_leaving = true;
  } else if (lost_ < tolerated_) {
    ++lost_;
    if (kind == 2) {
      LoseDisk(vm);
    } else if (kind == 3) {
      vm.exists = false;
      ++missing_;
    } else if (kind == 4) {
      vm.is_cut = true;
    } else {
      Stop(vm);
    }
  }
}

// A turn is acknowledged when one disk more than the tolerated losses has it.
void MemberSimulation::WriteTurn() {
  const auto turn = "turn-" + std::to_string(names_++);
  std::vector<Vm*> holders;
  for (const auto& it : list_.Writable()) {
    auto* vm = HolderOf(it.disk);
    if (vm != nullptr && CanAct(*vm) && !vm->is_cut) {
      holders.push_back(vm);
    }
  }
  std::shuffle(holders.begin(), holders.end(), random_);
  const auto copies = static_cast<std::size_t>(tolerated_) + 1;
  holders.resize(std::min(copies, holders.size()));
  for (auto* it : holders) {
    it->turns.insert(turn);
    it->list = list_;
  }
  if (holders.size() == copies) {
    turns_.insert(turn);
  }
}

void MemberSimulation::WriteUse() {
  const auto use = "use-" + std::to_string(names_++);
  bool stored = true;
  for (const auto& set : list_.ReplicasOf(use, tolerated_)) {
    std::size_t n = 0;
    auto disks = set.disks;
    std::shuffle(disks.begin(), disks.end(), random_);
    for (const auto& it : disks) {
      auto* vm = HolderOf(it);
      if (vm != nullptr && CanAct(*vm) && !vm->is_cut && n < set.quorum) {
        vm->uses.insert(use);
        vm->list = list_;
        ++n;
      }
    }
    stored = stored && n == set.quorum;
  }
  if (stored) {
    uses_.insert(use);
  }
}

void MemberSimulation::Step() {
  const auto kind = Pick(10);
  if (kind == 0) {
    Disturb();
  } else if (kind == 1) {
    WriteTurn();
  } else if (kind == 2) {
    WriteUse();
  } else {
    Act(vms_[Pick(vms_.size())]);
  }
}

bool MemberSimulation::Settle() {
  quiet_ = true;
  std::size_t staying = 0;
  for (auto& it : vms_) {
    it.runs = true;
    it.is_cut = false;
    staying += it.exists && !it.is_leaving ? 1 : 0;
  }
  // VMs that are gone for good have successors.
  for (; staying < static_cast<std::size_t>(tolerated_) + 2; ++staying) {
    AddVm();
  }
  for (int round = 0; round < kSettleRounds; ++round) {
    for (std::size_t n = 0; n < vms_.size(); ++n) {
      Act(vms_[n]);
    }
  }
  return IsSettled();
}

// A disk that left a probe unanswered counts as silent, then as dead, and in
// the end as gone.
DiskHealths MemberSimulation::Probe(Vm& vm,
                                    const std::vector<StorageMember>& members) {
  DiskHealths out;
  for (const auto& it : members) {
    const auto* holder = HolderOf(it.disk);
    const bool lost = !quiet_ && Chance(kLostMessagePercent);
    const bool replaced =
        std::any_of(vms_.begin(), vms_.end(), [&](const Vm& other) {
          return "address-" + other.name == it.address &&
                 other.disk != it.disk && Reaches(vm, other) && !lost;
        });
    if (it.disk == vm.disk ||
        (holder != nullptr && Reaches(vm, *holder) && !lost)) {
      vm.missed.erase(it.disk);
      out[it.disk] = DiskHealth::kAnswers;
    } else if (replaced) {
      out[it.disk] = DiskHealth::kLost;
    } else {
      const int missed = ++vm.missed[it.disk];
      out[it.disk] = missed >= kGoneAfter   ? DiskHealth::kGone
                     : missed >= kDeadAfter ? DiskHealth::kDead
                                            : DiskHealth::kSilent;
    }
  }
  return out;
}

std::vector<StorageMember> MemberSimulation::Joining(const Vm& vm) {
  std::vector<StorageMember> out;
  for (const auto& [disk, member] : announced_) {
    const auto* holder = HolderOf(disk);
    if (disk != vm.disk && holder != nullptr && Reaches(vm, *holder) &&
        !holder->is_leaving) {
      out.push_back(member);
    }
  }
  return out;
}

void MemberSimulation::Propose(Vm& vm,
                               const std::optional<StorageList>& change) {
  if (!change) {
    return;
  }
  if (list_.version >= change->version) {
    vm.list = list_;
    return;
  }
  begun_changes_ += change->epoch > list_.epoch && change->changing() ? 1 : 0;
  list_ = *change;
  vm.list = list_;
}

void MemberSimulation::Act(Vm& vm) {
  if (!CanAct(vm) || vm.is_cut) {
    return;
  }
  if (quiet_ || Chance(70)) {
    vm.list = list_;
  }
  if (vm.list.version == 0) {
    return;
  }
  const auto& list = vm.list;
  if (list.changing()) {
    ActInChange(vm);
    return;
  }
  if (vm.has_announced && list.IsMember(vm.disk)) {
    announced_.erase(vm.disk);
    vm.has_announced = false;
  }
  if (vm.is_leaving) {
    LeaveList(vm);
  } else if (!list.IsMember(vm.disk)) {
    Join(vm);
  } else {
    Propose(vm, planner_.Remove(list, Probe(vm, list.members), Joining(vm)));
  }
}

void MemberSimulation::Join(Vm& vm) {
  if (!vm.has_announced) {
    announced_[vm.disk] = MemberOf(vm);
    vm.has_announced = true;
    return;
  }
  auto joining = Joining(vm);
  joining.insert(joining.begin(), MemberOf(vm));
  Propose(vm, planner_.Join(vm.list, Probe(vm, vm.list.members), joining));
}

void MemberSimulation::LeaveList(Vm& vm) {
  const auto& list = vm.list;
  if (list.IsMember(vm.disk)) {
    const auto change = planner_.Leave(list, Probe(vm, list.members), vm.disk);
    Propose(vm, change);
    vm.has_left = change && list_.epoch == change->epoch;
    return;
  }
  const bool was_dropped = !vm.has_left && !vm.turns.empty();
  const bool names_lost_disk = std::any_of(
      list.members.begin(), list.members.end(),
      [&](const auto& it) { return it.address == MemberOf(vm).address; });
  if (names_lost_disk || was_dropped || !planner_.IsEnough(list.members)) {
    Join(vm);
  } else if (vm.has_announced) {
    announced_.erase(vm.disk);
    vm.has_announced = false;
  } else if (!list_.IsMember(vm.disk) && !list_.IsNextMember(vm.disk)) {
    has_left_too_early_ =
        has_left_too_early_ ||
        (lost_ == 0 &&
         std::any_of(vm.turns.begin(), vm.turns.end(), [&](const auto& it) {
           return turns_.count(it) > 0 && !HasEnoughCopies(it, vm.disk);
         }));
    vm.exists = false;
  }
}

void MemberSimulation::ActInChange(Vm& vm) {
  const auto list = vm.list;
  if (list.Find(vm.disk) == nullptr) {
    if (!vm.is_leaving && !vm.has_announced) {
      announced_[vm.disk] = MemberOf(vm);
      vm.has_announced = true;
    }
    return;
  }
  if (vm.waited_version != list.version) {
    vm.waited_version = list.version;
    vm.waited = 0;
    vm.missed.clear();
  }
  const auto copied = [&list](const std::string& disk) {
    return Contains(list.synced, disk);
  };
  const bool waits_to_copy = list.IsNextMember(vm.disk) && !copied(vm.disk);
  if (waits_to_copy && vm.copied_epoch == list.epoch) {
    Propose(vm, vm.list.WithSynced(vm.disk));
    return;
  }
  if (waits_to_copy) {
    Copy(vm);
  }
  if ((waits_to_copy && vm.copied_epoch == list.epoch) ||
      ++vm.waited < kStallSteps) {
    return;
  }
  auto health = Probe(vm, list.AllMembers());
  const bool has_done_disk = std::any_of(
      list.synced.begin(), list.synced.end(),
      [&](const auto& it) { return health[it] == DiskHealth::kAnswers; });
  if (!(waits_to_copy && has_done_disk)) {
    Propose(vm, planner_.Restart(list, health, Joining(vm)));
  }
}

void MemberSimulation::Copy(Vm& vm) {
  std::vector<Vm*> answering;
  std::size_t told = 0;
  std::size_t replaced = 0;
  const auto health = Probe(vm, vm.list.AllMembers());
  for (const auto& it : vm.list.AllMembers()) {
    const bool is_member = vm.list.IsMember(it.disk);
    if (health.at(it.disk) == DiskHealth::kAnswers) {
      answering.push_back(HolderOf(it.disk));
      told += is_member ? 1 : 0;
    } else if (health.at(it.disk) == DiskHealth::kLost) {
      replaced += is_member ? 1 : 0;
    }
  }
  const bool all_of_next_told = std::all_of(
      vm.list.next.begin(), vm.list.next.end(), [&health](const auto& it) {
        return health.at(it.disk) == DiskHealth::kAnswers;
      });
  if ((told < vm.list.AnswersToProveAbsence(tolerated_) &&
       told + replaced < vm.list.members.size()) ||
      (vm.list.recopies && !all_of_next_told)) {
    return;
  }
  // A disk that answers takes over the list first.
  for (auto* it : answering) {
    if (it->list.version < vm.list.version) {
      it->list = vm.list;
    }
  }
  if (CopyUses(vm, answering) && CopyTurns(vm, answering)) {
    vm.copied_epoch = vm.list.epoch;
  }
}

bool MemberSimulation::CopyUses(Vm& vm, const std::vector<Vm*>& answering) {
  for (const auto* from : answering) {
    for (const auto& use : from->uses) {
      if (vm.list.IsMember(from->disk) &&
          Contains(vm.list.NewReplicasOf(use, tolerated_), vm.disk)) {
        vm.uses.insert(use);
      }
    }
  }
  return true;
}

bool MemberSimulation::CopyTurns(Vm& vm, const std::vector<Vm*>& answering) {
  const auto& list = vm.list;
  const bool returns = !list.IsMember(vm.disk) && !vm.turns.empty();
  if (!list.MayLackCopies(tolerated_) && !returns) {
    return true;
  }
  const auto all = list.AllMembers();
  std::set<std::string> reachable;
  for (const auto* it : answering) {
    if (Contains(list_.synced, it->disk) && it->disk != vm.disk) {
      reachable.insert(it->disk);
    }
  }
  CopyPlan plan(list, vm.disk, tolerated_, reachable, 0);
  std::map<TurnKey, std::string> names;
  for (std::size_t n = 0; n < all.size(); ++n) {
    for (const auto* it : answering) {
      if (it->disk != all[n].disk) {
        continue;
      }
      TurnDigest digest;
      for (const auto& turn : it->turns) {
        digest.push_back({TurnKey::Of(turn), std::chrono::milliseconds(0)});
        names[digest.back().key] = turn;
      }
      std::sort(digest.begin(), digest.end(),
                [](const auto& a, const auto& b) { return a.key < b.key; });
      plan.Add(n, std::move(digest));
    }
  }
  plan.Advance(names.size() + 1);
  for (const auto& [from, keys] : plan.fetches()) {
    for (const auto& it : keys) {
      vm.turns.insert(names[it]);
    }
  }
  for (const auto& [to, keys] : plan.sends()) {
    for (const auto& it : keys) {
      HolderOf(all[to].disk)->turns.insert(names[it]);
    }
  }
  return true;
}

bool MemberSimulation::HasEnoughCopies(const std::string& turn,
                                       const std::string& but) const {
  const auto n = std::count_if(vms_.begin(), vms_.end(), [&](const Vm& vm) {
    return vm.exists && vm.disk != but && vm.turns.count(turn) > 0 &&
           list_.IsMember(vm.disk);
  });
  return n > tolerated_;
}

std::string MemberSimulation::FaultOfRecords() const {
  for (const auto& it : turns_) {
    if (!HasEnoughCopies(it, "")) {
      return it + " has too few copies";
    }
  }
  for (const auto& use : uses_) {
    const auto set = list_.ReplicasOf(use, tolerated_).front();
    const auto holders =
        std::count_if(vms_.begin(), vms_.end(), [&](const Vm& vm) {
          return vm.exists && vm.uses.count(use) > 0 &&
                 Contains(set.disks, vm.disk);
        });
    if (static_cast<std::size_t>(holders) + set.quorum <= set.disks.size()) {
      return "a quorum lacks " + use;
    }
  }
  return {};
}

}  // namespace comfreyfold
