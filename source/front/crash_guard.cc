#include "front/crash_guard.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace comfreyfold {

namespace {

// A refusal takes one round trip.
constexpr std::chrono::milliseconds kConnectTimeout{350};

// A server may start again under its id.
std::string NameOfStart(const BackendServer& server) {
  return server.id + "@" + std::to_string(server.started.count());
}

}  // namespace

std::string FingerprintText(std::uint64_t fingerprint) {
  char buf[17];
  std::snprintf(buf, sizeof buf, "%016" PRIx64, fingerprint);
  return buf;
}

CrashGuard::CrashGuard(Loop& loop,
                       HttpClient& http,
                       FleetView& view,
                       DecisionLog& log)
    : loop_(loop), http_(http), view_(view), log_(log) {
  view_.OnChange([this] { LogQuarantined(); });
}

// The end of a server that is leaving is not a crash.
void CrashGuard::OnBrokenAnswer(const AcquiredSlot& slot,
                                const RequestFingerprint& fingerprint,
                                bool had_output) {
  const auto& servers = view_.servers().servers();
  const auto it = servers.find(slot.server_id);
  if (it == servers.end() || it->second.leaving) {
    return;
  }
  auto& broken = broken_[slot.server_id];
  const auto start = NameOfStart(it->second);
  broken.runs.push_back({fingerprint.request, start, true, {}, had_output});
  broken.runs.push_back(
      {fingerprint.target, start, true, {}, had_output, true});
  if (++broken.answers == 1) {
    broken.address = slot.address;
    loop_.Spawn([this, server_id = slot.server_id](Fiber& fiber) {
      CheckServer(fiber, server_id);
    });
  }
}

void CrashGuard::CheckServer(Fiber& fiber, const std::string& server_id) {
  const auto address = broken_.at(server_id).address;
  const auto connected = http_.TryConnect(fiber, address, kConnectTimeout);
  const auto broken = std::move(broken_.at(server_id));
  broken_.erase(server_id);
  if (connected == ConnectResult::kAccepted) {
    return;
  }
  const bool ended = connected == ConnectResult::kRefused;
  log_.Write(ended ? "server_ended" : "server_unreachable", "",
             {{"server", server_id},
              {"address", address},
              {"broken_answers", broken.answers}});
  if (!ended) {
    return;
  }
  view_.RecordSuspectRuns(broken.runs, ReportSource::kLocal);
}

void CrashGuard::OnAnswer(const AcquiredSlot& slot,
                          const RequestFingerprint& fingerprint) {
  const auto record = [&](std::uint64_t part, bool any_body) {
    if (view_.quarantine().IsSuspect(part)) {
      view_.RecordSuspectRuns(
          {{part, slot.server_id, false, {}, false, any_body}},
          ReportSource::kLocal);
    }
  };
  record(fingerprint.request, false);
  record(fingerprint.target, true);
}

std::chrono::milliseconds CrashGuard::QuarantineLeft(
    const RequestFingerprint& fingerprint) const {
  return view_.quarantine().TimeLeft(fingerprint,
                                     std::chrono::steady_clock::now());
}

void CrashGuard::OnSend(const AcquiredSlot& slot,
                        const RequestFingerprint& fingerprint) {
  if (view_.RecordSend(fingerprint)) {
    log_.Write("quarantined_request_retried", "",
               {{"request_hash", FingerprintText(fingerprint.request)},
                {"target_hash", FingerprintText(fingerprint.target)},
                {"server", slot.server_id}});
  }
}

void CrashGuard::LogQuarantined() {
  auto blamed = view_.quarantine().BlamedRequests();
  for (const auto it : blamed) {
    if (std::find(logged_.begin(), logged_.end(), it) == logged_.end()) {
      log_.Write("request_quarantined", "",
                 {{"request_hash", FingerprintText(it)},
                  {"time_ms_left", QuarantineLeft({it, 0})}});
    }
  }
  logged_ = std::move(blamed);
}

}  // namespace comfreyfold
