#include "storage/member_watch.h"

#include <algorithm>
#include <set>
#include <utility>

#include "net/repeat.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kWatchInterval{1000};
constexpr std::chrono::milliseconds kAbsentInterval{400};
constexpr std::chrono::milliseconds kProbeTimeout{700};
// Longer than a VM stands still, restarts without power or is cut off. A disk
// that is removed by mistake loses nothing, but copies when it joins again.
constexpr std::chrono::milliseconds kAbsenceLimit{15000};
constexpr std::chrono::milliseconds kLossLimit{60000};
// A stop does not wait longer for members that do not answer.
constexpr std::chrono::milliseconds kAnnounceTimeout{200};

AbsenceWatch::Limits LimitsFor(std::chrono::milliseconds catch_up_time) {
  return {kAbsenceLimit, std::min(kAbsenceLimit, catch_up_time / 2),
          kLossLimit};
}

}  // namespace

MemberWatch::MemberWatch(Loop& loop,
                         FleetView& view,
                         DecisionLog& log,
                         ReplicaClient& replicas,
                         std::string disk,
                         int tolerated_losses,
                         std::chrono::milliseconds catch_up_time)
    : loop_(loop),
      view_(view),
      log_(log),
      replicas_(replicas),
      disk_(std::move(disk)),
      watched_count_(static_cast<std::size_t>(tolerated_losses) + 1),
      absence_(LimitsFor(catch_up_time)),
      wake_(loop) {}

void MemberWatch::Run(Fiber& fiber) {
  Repeat(fiber, "the watch of storage members", [this, &fiber] {
    if (stopped_) {
      return false;
    }
    if (IsWatching()) {
      ProbeMembers(fiber);
    }
    wake_.Wait(fiber, absence_.absent() > 0 ? kAbsentInterval : kWatchInterval);
    return true;
  });
}

void MemberWatch::Stop() {
  stopped_ = true;
  wake_.NotifyAll();
}

// A change probes the disks that it waits for itself.
bool MemberWatch::IsWatching() const {
  const auto& list = view_.storage_list();
  return !paused_ && !list.changing() && list.IsMember(disk_);
}

std::vector<StorageMember> MemberWatch::Watched() const {
  const auto& members = view_.storage_list().members;
  const auto self =
      std::find_if(members.begin(), members.end(),
                   [this](const auto& it) { return it.disk == disk_; });
  std::vector<StorageMember> out(self + 1, members.end());
  out.insert(out.end(), members.begin(), self);
  if (absence_.absent() == 0 && out.size() > watched_count_) {
    out.resize(watched_count_);
  }
  return out;
}

void MemberWatch::ProbeMembers(Fiber& fiber) {
  std::set<std::string> disks;
  for (const auto& it : view_.storage_list().members) {
    disks.insert(it.disk);
  }
  absence_.Retain(disks);
  StorageRequest request;
  request.operation = StorageOperation::kAdopt;
  ReplicaClient::Plan plan;
  plan.targets = Watched();
  plan.initial_targets = plan.targets.size();
  plan.timeout = kProbeTimeout;
  const auto replies = replicas_.Call(
      fiber, plan, request,
      [&plan](const auto& it) { return it.size() == plan.targets.size(); });
  for (const auto& it : plan.targets) {
    Observe(it, replies);
  }
}

void MemberWatch::Observe(const StorageMember& member,
                          const StorageReplies& replies) {
  const auto now = std::chrono::steady_clock::now();
  const auto reply = replies.find(member.disk);
  if (reply == replies.end()) {
    if (absence_.Unanswered(member.disk, now)) {
      LogAbsence(member, "no answer");
    }
  } else if (reply->second.status == StorageStatus::kOtherDisk) {
    if (absence_.Replaced(member.disk, now)) {
      LogAbsence(member, "its VM has another disk");
    }
  } else {
    const auto absent = absence_.AbsentFor(member.disk);
    if (absence_.Answered(member.disk, now)) {
      log_.Write("member_returned", "",
                 {{"peer", member.vm}, {"absent_ms", absent}});
    }
  }
}

void MemberWatch::LogAbsence(const StorageMember& member, const char* reason) {
  log_.Write("member_absent", "",
             {{"peer", member.vm},
              {"disk", member.disk},
              {"reason", reason},
              {"removed_after_ms", absence_.LimitOf(member.disk)}});
}

void MemberWatch::ObserveStop(const std::string& disk) {
  const auto* member = view_.storage_list().Find(disk);
  if (member == nullptr) {
    return;
  }
  absence_.Stopping(disk, std::chrono::steady_clock::now());
  LogAbsence(*member, "planned stop");
  wake_.NotifyAll();
}

void MemberWatch::AnnounceStop() {
  announcing_ = true;
  loop_.Spawn([this](Fiber& fiber) {
    StorageRequest request;
    request.operation = StorageOperation::kStopping;
    request.ids = {disk_};
    ReplicaClient::Plan plan;
    for (const auto& it : view_.storage_list().AllMembers()) {
      if (it.disk != disk_) {
        plan.targets.push_back(it);
      }
    }
    const auto count = plan.targets.size();
    plan.initial_targets = count;
    plan.timeout = kAnnounceTimeout;
    const auto replies =
        replicas_.Call(fiber, plan, request,
                       [count](const auto& it) { return it.size() == count; });
    log_.Write("stop_announced", "",
               {{"members", static_cast<int>(count)},
                {"answers", static_cast<int>(replies.size())}});
    announcing_ = false;
  });
}

}  // namespace comfreyfold
