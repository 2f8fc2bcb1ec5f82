#include "core/known_room.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// For disks that do not know when they have room again, because the entries
// that wait for a stalled disk take all of it.
constexpr std::chrono::milliseconds kUnknownTime{250};
// A disk that takes nothing may take turns that have run again within a moment,
// and these can't wait for long.
constexpr std::chrono::milliseconds kMaxTimeOfNothing{1000};
constexpr std::chrono::milliseconds kNothingAskInterval{500};
constexpr std::chrono::milliseconds kAskInterval{2000};

}  // namespace

void KnownRoom::Observe(const std::string& disk,
                        DiskRoom room,
                        std::chrono::milliseconds room_in,
                        TimePoint now,
                        std::chrono::milliseconds new_chains_in) {
  if (room == DiskRoom::kNewChains) {
    reports_.erase(disk);
    return;
  }
  const auto known = [](std::chrono::milliseconds time) {
    return time.count() > 0 ? time : kUnknownTime;
  };
  const auto turns_at =
      room == DiskRoom::kNewTurns ? now : now + known(room_in);
  const auto chains_at = std::max(turns_at, room == DiskRoom::kNewTurns
                                                ? now + known(new_chains_in)
                                                : now + new_chains_in);
  reports_[disk] = {room, turns_at, chains_at, now, now};
}

DiskRoom KnownRoom::Of(const std::string& disk, TimePoint now) const {
  const auto it = reports_.find(disk);
  if (it == reports_.end() || it->second.new_chains_at <= now) {
    return DiskRoom::kNewChains;
  }
  const auto& report = it->second;
  if (report.new_turns_at <= now) {
    return DiskRoom::kNewTurns;
  }
  return now - report.reported_at < kMaxTimeOfNothing ? report.room
                                                      : DiskRoom::kEndedTurns;
}

std::chrono::milliseconds KnownRoom::RoomIn(
    const std::vector<std::string>& disks,
    std::size_t needed,
    TimePoint now,
    DiskRoom wanted) const {
  if (needed == 0 || disks.size() < needed) {
    return {};
  }
  std::vector<std::chrono::milliseconds> waits;
  waits.reserve(disks.size());
  for (const auto& disk : disks) {
    const auto it = reports_.find(disk);
    const auto wait = it == reports_.end() ? TimePoint::duration(0)
                      : wanted == DiskRoom::kNewChains
                          ? it->second.new_chains_at - now
                          : it->second.new_turns_at - now;
    waits.push_back(
        std::max(std::chrono::milliseconds(0),
                 std::chrono::ceil<std::chrono::milliseconds>(wait)));
  }
  std::sort(waits.begin(), waits.end());
  return waits[needed - 1];
}

std::vector<std::string> KnownRoom::TakeDue(TimePoint now) {
  std::vector<std::string> out;
  for (auto it = reports_.begin(); it != reports_.end();) {
    auto& report = it->second;
    if (report.new_chains_at <= now) {
      it = reports_.erase(it);
      continue;
    }
    const auto interval =
        report.room == DiskRoom::kNothing ? kNothingAskInterval : kAskInterval;
    if (now - report.asked_at >= interval) {
      report.asked_at = now;
      out.push_back(it->first);
    }
    ++it;
  }
  return out;
}

}  // namespace comfreyfold
