#ifndef STORAGE_MEMBER_WATCH_H_
#define STORAGE_MEMBER_WATCH_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/absence_watch.h"
#include "core/storage_list.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "net/loop.h"
#include "storage/replica_client.h"

namespace comfreyfold {

// Notes which storage members are absent and for how long. Each member watches
// the tolerated losses and one that follow it in the list, so that one of the
// watchers of a lost disk is left; all members are watched while one is absent.
class MemberWatch {
 public:
  // A stopped disk is gone after half of `catch_up_time`, which leaves the
  // other half for copying what it held.
  MemberWatch(Loop& loop,
              FleetView& view,
              DecisionLog& log,
              ReplicaClient& replicas,
              std::string disk,
              int tolerated_losses,
              std::chrono::milliseconds catch_up_time);

  // Probes members until Stop().
  void Run(Fiber& fiber);
  void Stop();
  // While paused, no probes are sent.
  void SetPaused(bool paused) { paused_ = paused; }

  // Records that the daemon of `disk` announced its stop.
  void ObserveStop(const std::string& disk);
  // Announces the stop of this VM's daemon to the other members.
  void AnnounceStop();
  // True until the other members have answered the announcement, or too late.
  bool announcing() const { return announcing_; }

  const AbsenceWatch& absence() const { return absence_; }

 private:
  bool IsWatching() const;
  void ProbeMembers(Fiber& fiber);
  std::vector<StorageMember> Watched() const;
  // Records what `replies` tell about `member`.
  void Observe(const StorageMember& member, const StorageReplies& replies);
  void LogAbsence(const StorageMember& member, const char* reason);

  Loop& loop_;
  FleetView& view_;
  DecisionLog& log_;
  ReplicaClient& replicas_;
  std::string disk_;
  std::size_t watched_count_;
  AbsenceWatch absence_;
  Condition wake_;
  bool paused_ = false;
  bool stopped_ = false;
  bool announcing_ = false;
};

}  // namespace comfreyfold

#endif  // STORAGE_MEMBER_WATCH_H_
