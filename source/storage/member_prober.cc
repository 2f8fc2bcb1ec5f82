#include "storage/member_prober.h"

#include <utility>

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{700};
// Probes in a row without an answer after which such a disk counts as dead. A
// daemon that is short of processor time leaves some unanswered but accepts
// connections.
constexpr int kProbesUnreachable = 2;
constexpr int kProbesSilent = 4;

// Whether the disk's VM has another disk now.
bool WasReplaced(const StorageReplies& replies, const StorageMember& member) {
  const auto it = replies.find(member.disk);
  return it != replies.end() && it->second.status == StorageStatus::kOtherDisk;
}

}  // namespace

MemberProber::MemberProber(HttpClient& http,
                           const FleetView& view,
                           ReplicaClient& replicas,
                           const AbsenceWatch& absence,
                           std::string disk)
    : http_(http),
      view_(view),
      replicas_(replicas),
      absence_(absence),
      disk_(std::move(disk)) {}

StorageReplies MemberProber::Probe(Fiber& fiber,
                                   const std::vector<StorageMember>& members,
                                   std::chrono::milliseconds timeout) {
  StorageRequest request;
  request.operation = StorageOperation::kAdopt;
  request.members = view_.storage_list();
  ReplicaClient::Plan plan;
  for (const auto& it : members) {
    if (it.disk != disk_) {
      plan.targets.push_back(it);
    }
  }
  plan.initial_targets = plan.targets.size();
  plan.timeout = timeout;
  return replicas_.Call(fiber, plan, request,
                        [&plan](const StorageReplies& it) {
                          return it.size() == plan.targets.size();
                        });
}

std::vector<StorageMember> MemberProber::ReachableMembers(
    Fiber& fiber,
    const std::vector<StorageMember>& members,
    std::chrono::milliseconds timeout) {
  const auto replies = Probe(fiber, members, timeout);
  std::vector<StorageMember> out;
  for (const auto& it : members) {
    const auto reply = replies.find(it.disk);
    const bool has_answered =
        reply != replies.end() && reply->second.status == StorageStatus::kDone;
    if (it.disk == disk_ || has_answered) {
      out.push_back(it);
    }
  }
  return out;
}

// A disk that is only slow must not lose its place for one probe.
DiskHealths MemberProber::HealthOf(Fiber& fiber,
                                   const std::vector<StorageMember>& members,
                                   const StorageReplies& replies,
                                   bool has_list) {
  DiskHealths out;
  for (const auto& it : members) {
    const auto reply = replies.find(it.disk);
    const bool answers =
        it.disk == disk_ ||
        (reply != replies.end() &&
         (!has_list || reply->second.status == StorageStatus::kDone));
    if (WasReplaced(replies, it)) {
      out[it.disk] = DiskHealth::kLost;
    } else if (answers) {
      unanswered_probes_.erase(it.disk);
      out[it.disk] = DiskHealth::kAnswers;
    } else if (!IsDead(fiber, it)) {
      out[it.disk] = DiskHealth::kSilent;
    } else {
      out[it.disk] =
          absence_.IsLost(it.disk) ? DiskHealth::kLost : DiskHealth::kDead;
    }
  }
  return out;
}

DiskHealths MemberProber::HealthForRemoval(
    const std::vector<StorageMember>& members,
    const StorageReplies& replies) const {
  DiskHealths out;
  for (const auto& it : members) {
    const bool answers =
        replies.count(it.disk) > 0 && !WasReplaced(replies, it);
    if (it.disk == disk_ || answers) {
      out[it.disk] = DiskHealth::kAnswers;
    } else if (!absence_.IsGone(it.disk)) {
      out[it.disk] = DiskHealth::kSilent;
    } else {
      out[it.disk] =
          absence_.IsLost(it.disk) ? DiskHealth::kLost : DiskHealth::kGone;
    }
  }
  return out;
}

bool MemberProber::IsDead(Fiber& fiber, const StorageMember& disk) {
  auto& [unreachable, silent] = unanswered_probes_[disk.disk];
  const bool accepts = http_.TryConnect(fiber, disk.address, kConnectTimeout) ==
                       ConnectResult::kAccepted;
  unreachable = accepts ? 0 : unreachable + 1;
  ++silent;
  return unreachable >= kProbesUnreachable || silent >= kProbesSilent;
}

}  // namespace comfreyfold
