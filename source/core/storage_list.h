#ifndef CORE_STORAGE_LIST_H_
#define CORE_STORAGE_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

// A disk that keeps turns and token budgets. A VM whose disk was lost comes
// back as another member: what the old disk held no longer counts.
struct StorageMember {
  std::string disk;     // Random id, kept on the disk itself.
  std::string vm;       // Name of the VM that has it now.
  std::string address;  // ip:port of its daemon.
  std::string data_centre;

  friend bool operator==(const StorageMember&, const StorageMember&) = default;
};

// Disks of which a quorum must take part.
struct ReplicaSet {
  std::vector<std::string> disks;
  std::size_t quorum = 1;
};

// Which disks keep the state, one version after the other. While `next` is
// not empty the list is between two sets: everything that needs a quorum
// needs one of each, until all of `next` have copied what they lack.
class StorageList {
 public:
  std::int64_t version = 0;  // Of the list as a whole.
  std::int64_t epoch = 0;    // Of its sets: an older one must not be used.
  std::vector<StorageMember> members;
  std::vector<StorageMember> next;
  std::vector<std::string> synced;  // Disks of `next` that have copied.

  bool changing() const { return !next.empty(); }

  // Every member of either set, each disk once.
  std::vector<StorageMember> AllMembers() const;
  const StorageMember* Find(const std::string& disk) const;
  bool IsNextMember(const std::string& disk) const;
  bool IsMember(const std::string& disk) const;

  // The disks that decide on `program`'s token budget, a set for each of
  // `members` and `next`: any two quorums of one set share a disk, and
  // `losses` disks may be missing.
  std::vector<ReplicaSet> ReplicasOf(std::string_view program,
                                     int losses) const;

  // Disks that are among these in the next set and were not before, so that
  // they have to copy what the program used.
  std::vector<std::string> NewReplicasOf(std::string_view program,
                                         int losses) const;
  // Whether the change takes no disk away: then only the new ones copy.
  bool OnlyAddsMembers() const;

  // The set that a new record is written to.
  const std::vector<StorageMember>& Writable() const {
    return changing() ? next : members;
  }

  // Answers "no such record" that are needed for certainty, of `members`:
  // they leave too few disks for a record that was kept.
  std::size_t AnswersToProveAbsence(int losses) const;
  // The same of any set, e.g. `next`.
  static std::size_t AnswersToProveAbsence(
      const std::vector<StorageMember>& members,
      int losses);

  // The list that replaces this one when `joiners` come in and `gone` leave.
  // Where none leaves, its members have nothing to copy.
  StorageList WithChange(const std::vector<StorageMember>& joiners,
                         const std::vector<std::string>& gone) const;
  // The list once `disk` has copied what it lacked.
  StorageList WithSynced(const std::string& disk) const;
};

}  // namespace comfreyfold

#endif  // CORE_STORAGE_LIST_H_
