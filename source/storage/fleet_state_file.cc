#include "storage/fleet_state_file.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

#include "core/hash.h"
#include "core/wall_clock.h"
#include "wire/codec.h"
#include "wire/fleet_messages.h"

namespace comfreyfold {

namespace {

constexpr const char* kStateFile = "fleet";
// The checksum of the content precedes it, in host byte order.
constexpr std::size_t kChecksumBytes = 8;

std::string WithChecksum(const std::string& content) {
  const auto checksum = Hash64(content);
  std::string out(kChecksumBytes, '\0');
  std::memcpy(out.data(), &checksum, sizeof checksum);
  return out + content;
}

// Throws WireError if the content is damaged.
KeptFleet DecodeFile(const std::string& bytes) {
  std::uint64_t checksum = 0;
  if (bytes.size() < kChecksumBytes) {
    throw WireError("the file is too short");
  }
  std::memcpy(&checksum, bytes.data(), sizeof checksum);
  const auto content = bytes.substr(kChecksumBytes);
  if (Hash64(content) != checksum) {
    throw WireError("the checksum differs");
  }
  return DecodeKeptFleet(content);
}

}  // namespace

FleetStateFile::FleetStateFile(FleetView& view,
                               DecisionLog& log,
                               DiskLog& disk_log,
                               const std::string& folder)
    : view_(view), log_(log), disk_log_(disk_log) {
  Load(folder);
  view_.OnChange([this] { SaveIfChanged(); });
}

void FleetStateFile::Load(const std::string& folder) {
  const auto bytes = ReadWholeFile(folder + "/" + kStateFile);
  if (bytes.empty()) {
    return;
  }
  try {
    kept_ = DecodeFile(bytes);
    kept_servers_hash_ = HashOf(kept_.servers);
    RestoreQuarantine();
  } catch (const WireError& e) {
    log_.Write("kept_fleet_refused", "", {{"reason", e.what()}});
  }
}

void FleetStateFile::RestoreQuarantine() {
  const auto age =
      std::max(std::chrono::milliseconds(0), WallNow() - kept_.kept_at);
  auto runs = kept_.suspect_runs;
  for (auto& it : runs) {
    it.age += age;
  }
  view_.RecordSuspectRuns(runs, ReportSource::kLocal);
  kept_blamed_hash_ = view_.quarantine().HashOfBlamed();
}

// One write at a time: while a disk is slow, only the newest state waits.
void FleetStateFile::SaveIfChanged() {
  if (saving_ || !view_.config()) {
    return;
  }
  const auto servers_hash = HashOf(view_.registered_servers());
  const auto blamed_hash = view_.quarantine().HashOfBlamed();
  if (view_.config()->version == kept_.config_version &&
      servers_hash == kept_servers_hash_ && blamed_hash == kept_blamed_hash_) {
    return;
  }
  saving_ = true;
  KeptFleet kept{
      view_.config()->version, view_.config_text(), view_.registered_servers(),
      WallNow(),
      view_.quarantine().BlamedRuns(std::chrono::steady_clock::now())};
  const auto content = WithChecksum(Encode(kept));
  disk_log_.ReplaceFile(kStateFile, content,
                        [this, servers_hash, blamed_hash,
                         kept = std::move(kept)](bool replaced) mutable {
                          saving_ = false;
                          if (!replaced) {
                            // The next change of the view starts another
                            // attempt.
                            log_.Write(
                                "fleet_not_kept", "",
                                {{"version", kept.config_version},
                                 {"reason", "the disk refused the write"}});
                            return;
                          }
                          kept_ = std::move(kept);
                          kept_servers_hash_ = servers_hash;
                          kept_blamed_hash_ = blamed_hash;
                          SaveIfChanged();
                        });
}

}  // namespace comfreyfold
