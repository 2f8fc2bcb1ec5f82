#ifndef STORAGE_MEMBER_PROBER_H_
#define STORAGE_MEMBER_PROBER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/absence_watch.h"
#include "core/storage_change_planner.h"
#include "core/storage_list.h"
#include "fleet/fleet_view.h"
#include "net/http_client.h"
#include "net/loop.h"
#include "storage/replica_client.h"

namespace comfreyfold {

// Finds out which disks answer before a change of the storage list is begun.
class MemberProber {
 public:
  // `disk` is this VM's own, which always answers.
  MemberProber(HttpClient& http,
               const FleetView& view,
               ReplicaClient& replicas,
               const AbsenceWatch& absence,
               std::string disk);

  // Sends the current list to `members`, but not to this VM's disk.
  StorageReplies Probe(Fiber& fiber,
                       const std::vector<StorageMember>& members,
                       std::chrono::milliseconds timeout);
  // Does the same and returns those that have the list now.
  std::vector<StorageMember> ReachableMembers(
      Fiber& fiber,
      const std::vector<StorageMember>& members,
      std::chrono::milliseconds timeout);

  // Returns the health of `members` after a probe with `replies`. If `has_list`
  // is set, only disks that have stored the list count as answering.
  DiskHealths HealthOf(Fiber& fiber,
                       const std::vector<StorageMember>& members,
                       const StorageReplies& replies,
                       bool has_list);
  // The same for a removal, which waits for each disk that may come back.
  DiskHealths HealthForRemoval(const std::vector<StorageMember>& members,
                               const StorageReplies& replies) const;

  // Forgets which probes were left unanswered.
  void Forget() { unanswered_probes_.clear(); }
  // Number of disks that left the last probe unanswered.
  std::size_t silent() const { return unanswered_probes_.size(); }

 private:
  // Notes that `disk` left a probe unanswered. Returns whether it is dead.
  bool IsDead(Fiber& fiber, const StorageMember& disk);

  struct UnansweredProbes {
    int unreachable = 0;  // Those in a row without a connection.
    int silent = 0;       // All in a row.
  };

  HttpClient& http_;
  const FleetView& view_;
  ReplicaClient& replicas_;
  const AbsenceWatch& absence_;
  std::string disk_;
  std::map<std::string, UnansweredProbes> unanswered_probes_;  // By disk.
};

}  // namespace comfreyfold

#endif  // STORAGE_MEMBER_PROBER_H_
