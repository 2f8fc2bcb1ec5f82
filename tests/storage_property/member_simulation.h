#ifndef STORAGE_PROPERTY_MEMBER_SIMULATION_H_
#define STORAGE_PROPERTY_MEMBER_SIMULATION_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/storage_change_planner.h"
#include "core/storage_list.h"

namespace comfreyfold {

// VMs with disks that change the list of storage members, one step at a time.
// They decide as the daemons do. Messages are lost, and between any two steps
// VMs stop, are cut off, lose their disks, come, go, and are to be emptied. No
// more disks are lost at a time than are tolerated.
class MemberSimulation {
 public:
  MemberSimulation(std::size_t disks, int tolerated_losses, unsigned seed);

  // One random event.
  void Step();
  // Ends all trouble that ends, then lets all VMs act. Returns whether the list
  // no longer changes, and names the disks of all VMs that stay.
  bool Settle();
  // Returns what is wrong with the records after Settle(); empty: nothing.
  std::string FaultOfRecords() const;
  // Whether a VM was reported to be empty while the others lacked copies.
  bool has_left_too_early() const { return has_left_too_early_; }
  int begun_changes() const { return begun_changes_; }

 private:
  struct Vm {
    std::string name;
    std::string disk;
    bool exists = true;
    bool runs = true;
    bool is_cut = false;
    bool is_leaving = false;
    std::set<std::string> turns;
    std::set<std::string> uses;  // Named like their programs.
    // Of the daemon, gone with the process.
    StorageList list;
    std::map<std::string, int> missed;  // Unanswered probes, by disk.
    bool has_announced = false;
    bool has_left = false;  // By its own proposal.
    int waited = 0;  // Steps without progress of the change `waited_version`.
    std::int64_t waited_version = 0;
    std::int64_t copied_epoch = 0;
  };

  bool Chance(int percent);
  std::size_t Pick(std::size_t n);
  StorageMember MemberOf(const Vm& vm) const;
  bool CanAct(const Vm& vm) const { return vm.exists && vm.runs; }
  bool Reaches(const Vm& from, const Vm& to) const;
  Vm* HolderOf(const std::string& disk);
  bool IsSettled() const;

  void Disturb();
  void AddVm();
  void LoseDisk(Vm& vm);
  void Stop(Vm& vm);
  void WriteTurn();
  void WriteUse();

  // One step of a VM's daemon.
  void Act(Vm& vm);
  void ActInChange(Vm& vm);
  void Join(Vm& vm);
  void LeaveList(Vm& vm);
  void Copy(Vm& vm);
  bool CopyUses(Vm& vm, const std::vector<Vm*>& answering);
  bool CopyTurns(Vm& vm, const std::vector<Vm*>& answering);
  DiskHealths Probe(Vm& vm, const std::vector<StorageMember>& members);
  std::vector<StorageMember> Joining(const Vm& vm);
  void Propose(Vm& vm, const std::optional<StorageList>& change);
  bool HasEnoughCopies(const std::string& turn, const std::string& but) const;

  int tolerated_;
  StorageChangePlanner planner_;
  std::mt19937 random_;
  std::vector<Vm> vms_;
  StorageList list_;  // As the key-value service has it.
  std::map<std::string, StorageMember> announced_;
  std::set<std::string> turns_;  // Acknowledged ones.
  std::set<std::string> uses_;
  int lost_ = 0;     // Disks lost since the list was settled, or still lost.
  int missing_ = 0;  // VMs that were removed and have no successor.
  bool quiet_ = false;
  bool has_left_too_early_ = false;
  int begun_changes_ = 0;
  std::size_t names_ = 0;
};

}  // namespace comfreyfold

#endif  // STORAGE_PROPERTY_MEMBER_SIMULATION_H_
