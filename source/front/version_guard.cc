#include "front/version_guard.h"

#include <algorithm>
#include <set>

#include "core/wall_clock.h"

namespace comfreyfold {

namespace {

constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kStoreTimeout{1200};
constexpr std::chrono::milliseconds kFindTimeout{1200};
constexpr std::chrono::milliseconds kStorageRetryAfter{150};
// Clients resume a stream within the time limit of its request.
constexpr std::chrono::milliseconds kMinRecordTime{60000};
// Registrations that are older may lack a server. They are read about once a
// second.
constexpr std::chrono::milliseconds kMaxRegistryAge{3000};
// From the reservation to the server's start to run it, with clock skew.
constexpr std::chrono::milliseconds kMaxBeginDelay{2000};
// How long a healthy stream may wait for a record without which it cannot be
// resumed.
constexpr std::chrono::milliseconds kFirstRecordWait{200};

bool MayBeResumed(const Call& call) {
  return call.route->kind == RequestKind::kStream && call.route->resumable;
}

// A request without a program has a record of its own.
const std::string& RecordKey(const Call& call, const std::string& request) {
  return call.params.program.empty() ? request : call.params.program;
}

}  // namespace

bool ContinuesKnownAttempt(const Call& call) {
  return MayBeResumed(call) && !call.params.last_event_id.empty() &&
         !call.params.resumed_request.empty();
}

VersionGuard::VersionGuard(const FleetView& view,
                           StorageClient& storage,
                           ServerAdmission& admission,
                           DecisionLog& log)
    : view_(view), storage_(storage), admission_(admission), log_(log) {}

void VersionGuard::Plan(const Call& call, TokenUse& use) {
  if (!MayBeResumed(call) || !call.params.last_event_id.empty()) {
    return;
  }
  use.version = admission_.PreferredVersion(
      call.service, RecordKey(call, call.params.request_id));
  use.version_choice = use.version.empty() ? 0 : 1;
}

std::optional<CallError> VersionGuard::Resume(Call& call, const TokenUse& use) {
  // Started anew with another version at about that time, the server may have
  // written the events before or after its start.
  const auto& servers = view_.servers().servers();
  const auto it = servers.find(use.server);
  const bool has_changed =
      it != servers.end() && it->second.version != use.version &&
      it->second.started < use.expires_at - call.route->retention -
                               kRetentionMargin + kMaxBeginDelay;
  if (use.version.empty() || has_changed) {
    return NotRunError(kUnavailable, "version_unknown",
                       "the software version that began this stream is not "
                       "known; begin it anew");
  }
  call.version = use.version;
  return std::nullopt;
}

std::optional<CallError> VersionGuard::FindAndResume(Fiber& fiber, Call& call) {
  const auto& request = call.params.resumed_request;
  const auto use =
      storage_.FindUse(fiber, RecordKey(call, request), request,
                       std::min(kFindTimeout, TimeLeft(call.deadline)));
  if (!use) {
    return NotRunError(kUnavailable, "version_unread",
                       "the software version that began this stream cannot be "
                       "read now; retry",
                       kStorageRetryAfter);
  }
  return Resume(call, *use);
}

bool VersionGuard::BeginsStream(const Call& call) {
  return MayBeResumed(call) && !call.version &&
         call.params.last_event_id.empty();
}

// A daemon that stood still or was cut off does not know the servers that have
// registered since.
bool VersionGuard::HasOldRegistry() const {
  return std::chrono::steady_clock::now() - view_.servers_read_at() >
         kMaxRegistryAge;
}

// The check costs a request for each connection. While all servers of the
// service have one version and the registry is new, only one that has just
// started with another could be mistaken.
bool VersionGuard::MustCheckProcess(const Call& call) const {
  if (!BeginsStream(call)) {
    return call.version.has_value();
  }
  std::set<std::string> versions;
  for (const auto& [id, it] : view_.servers().servers()) {
    if (it.service == call.service) {
      versions.insert(it.version);
    }
  }
  return versions.size() > 1 || HasOldRegistry();
}

CallError VersionGuard::NoServerError() const {
  if (HasOldRegistry()) {
    return NotRunError(kUnavailable, "version_unread",
                       "this daemon's list of servers is old and has none of "
                       "the version that began this stream; retry",
                       kStorageRetryAfter);
  }
  return NotRunError(kUnavailable, "version_gone",
                     "no server has the software version that began this "
                     "stream; begin it anew");
}

std::function<bool(Fiber&)> VersionGuard::BeginAt(Call& call,
                                                  const AcquiredSlot& slot) {
  auto& record = call.version_record;
  const bool is_recorded = record.version == slot.server_version &&
                           (!call.version_store || call.version_store->stored);
  if (!BeginsStream(call) || is_recorded) {
    return nullptr;
  }
  if (record.request.empty()) {
    record.program = RecordKey(call, call.params.request_id);
    record.request = call.params.request_id;
    record.settled = true;
    record.expires_at =
        WallNow() + std::max(call.route->retention, kMinRecordTime);
  }
  record.version = slot.server_version;
  ++record.version_choice;
  const auto timeout = std::min(kStoreTimeout, TimeLeft(call.deadline));
  const auto store = storage_.BeginStoreUse(record, timeout);
  call.version_store = store;
  log_.Write("stream_version", call.params.request_id,
             {{"version", record.version}, {"choice", record.version_choice}});
  // As long as no other version is recorded, a reader finds this one or none.
  const bool is_first = record.version_choice == 1;
  const auto wait = is_first ? std::min(kFirstRecordWait, timeout) : timeout;
  return [store, wait, is_first](Fiber& fiber) {
    store->changed.WaitUntil(fiber, wait, [&store] { return store->ended; });
    return store->stored || is_first;
  };
}

}  // namespace comfreyfold
