#ifndef CORE_STORAGE_LIST_H_
#define CORE_STORAGE_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

// A disk that stores turns and token budgets. A VM that lost its disk joins
// again as a new member, so the records of the old disk no longer count.
struct StorageMember {
  std::string disk;     // Random id, stored on the disk itself.
  std::string vm;       // Name of the VM that currently has the disk.
  std::string address;  // ip:port of the daemon on that VM.
  std::string data_centre;

  friend bool operator==(const StorageMember&, const StorageMember&) = default;
};

// Disks of which at least `quorum` have to take part in an operation.
struct ReplicaSet {
  std::vector<std::string> disks;
  std::size_t quorum = 1;
};

// The disks that store the state, as a sequence of versions. While `next` is
// not empty, the membership is changing: each operation then needs a quorum of
// both sets, until all disks of `next` have copied the records they lack.
class StorageList {
 public:
  std::int64_t version = 0;  // Incremented with every change of the list.
  // Incremented when `members` or `next` change. Sets of an older epoch must
  // not be used.
  std::int64_t epoch = 0;
  std::vector<StorageMember> members;
  std::vector<StorageMember> next;
  std::vector<std::string> synced;  // Disks of `next` that are complete.
  // Disks were dropped from `next`, so that turns that were written since the
  // change began may lack a copy, and all disks of `next` look for them.
  bool recopies = false;

  bool changing() const { return !next.empty(); }

  // Returns the members of both sets, each disk once.
  std::vector<StorageMember> AllMembers() const;
  const StorageMember* Find(const std::string& disk) const;
  bool IsNextMember(const std::string& disk) const;
  bool IsMember(const std::string& disk) const;

  // Returns the replicas of `program`'s token budget, one set for `members` and
  // one for `next`. Any two quorums of one set share a disk, and a quorum
  // remains when `tolerated_losses` disks of a set are lost.
  std::vector<ReplicaSet> ReplicasOf(std::string_view program,
                                     int tolerated_losses) const;

  // Returns the replicas of `program` in `next` that have to copy its token
  // uses: those that are not its replicas in `members`, or all if there are
  // fewer than before.
  std::vector<std::string> NewReplicasOf(std::string_view program,
                                         int tolerated_losses) const;
  // True if the change removes no disk, so that only the added disks copy.
  bool OnlyAddsMembers() const;

  // Whether turns may have too few copies in `next` before its disks have
  // copied some.
  bool MayLackCopies(int tolerated_losses) const;

  // Returns the set that new records are written to.
  const std::vector<StorageMember>& Writable() const {
    return changing() ? next : members;
  }

  // Returns how many of `members` have to answer that they lack a record to
  // prove that it was not stored. The remaining disks are too few for a stored
  // record.
  std::size_t AnswersToProveAbsence(int tolerated_losses) const;
  // The same for another set, such as `next`.
  static std::size_t AnswersToProveAbsence(
      const std::vector<StorageMember>& members,
      int tolerated_losses);

  // Returns the list that begins a change in which the members `added` join and
  // the disks `removed` leave. If no disk leaves, the present members have
  // nothing to copy.
  StorageList WithChange(const std::vector<StorageMember>& added,
                         const std::vector<std::string>& removed) const;
  // Returns the list that begins the present change anew with the disks `alive`
  // of `next` only.
  StorageList RestartedWith(const std::vector<StorageMember>& alive) const;
  // Returns the list after `disk` has copied the records it lacked. Once all
  // disks of `next` have, `next` replaces `members`.
  StorageList WithSynced(const std::string& disk) const;
};

}  // namespace comfreyfold

#endif  // CORE_STORAGE_LIST_H_
