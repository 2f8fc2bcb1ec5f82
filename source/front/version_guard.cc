#include "front/version_guard.h"

#include <algorithm>

#include "core/wall_clock.h"

namespace comfreyfold {

namespace {

constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kStoreTimeout{1200};
constexpr std::chrono::milliseconds kFindTimeout{1200};
constexpr std::chrono::milliseconds kStorageRetryAfter{150};
// Clients resume a stream within the time limit of its request.
constexpr std::chrono::milliseconds kMinRecordTime{60000};

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

CallError VersionGoneError() {
  return NotRunError(kUnavailable, "version_gone",
                     "no server has the software version that began this "
                     "stream; begin it anew");
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
  use.version = admission_.PreferredVersion(call.service, call.params.program);
  use.version_choice = use.version.empty() ? 0 : 1;
}

std::optional<CallError> VersionGuard::Resume(Call& call, const TokenUse& use) {
  // Started anew since with another version, the server may have written the
  // events before or after that.
  const auto& servers = view_.servers().servers();
  const auto it = servers.find(use.server);
  const bool has_changed =
      it != servers.end() && it->second.version != use.version;
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

std::function<bool(Fiber&)> VersionGuard::BeginAt(Call& call,
                                                  const AcquiredSlot& slot) {
  const bool begins =
      MayBeResumed(call) && !call.version && call.params.last_event_id.empty();
  auto& record = call.version_record;
  const bool is_recorded = record.version == slot.server_version &&
                           (!call.version_store || call.version_store->stored);
  if (!begins || is_recorded) {
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
  return [store, timeout](Fiber& fiber) {
    store->changed.WaitUntil(fiber, timeout, [&store] { return store->ended; });
    return store->stored;
  };
}

}  // namespace comfreyfold
