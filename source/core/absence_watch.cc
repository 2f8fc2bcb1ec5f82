#include "core/absence_watch.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// More than the time between two probes of an absent disk. Of a longer pause
// this daemon's share is unknown.
constexpr std::chrono::milliseconds kMaxProbeGap{3000};
// One probe may be lost.
constexpr int kMinProbes = 2;
// A daemon that announced its stop may still answer for this time.
constexpr std::chrono::milliseconds kStopTime{500};

}  // namespace

bool AbsenceWatch::Answered(const std::string& disk, TimePoint now) {
  const auto it = absences_.find(disk);
  if (it == absences_.end() ||
      (it->second.announced && it->second.probes == 0 &&
       now - it->second.seen_at < kStopTime)) {
    return false;
  }
  absences_.erase(it);
  return true;
}

bool AbsenceWatch::Prolong(Absence& absence, TimePoint now) const {
  if (absence.seen_at != TimePoint{}) {
    absence.time += std::min(
        kMaxProbeGap, std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - absence.seen_at));
  }
  absence.seen_at = now;
  return ++absence.probes == 1;
}

bool AbsenceWatch::Unanswered(const std::string& disk, TimePoint now) {
  return Prolong(absences_[disk], now);
}

bool AbsenceWatch::Replaced(const std::string& disk, TimePoint now) {
  auto& absence = absences_[disk];
  absence.replaced = true;
  return Prolong(absence, now);
}

void AbsenceWatch::Stopping(const std::string& disk, TimePoint now) {
  auto& absence = absences_[disk];
  absence = {};
  absence.seen_at = now;
  absence.announced = true;
}

void AbsenceWatch::Retain(const std::set<std::string>& disks) {
  std::erase_if(absences_, [&disks](const auto& it) {
    return disks.count(it.first) == 0;
  });
}

bool AbsenceWatch::IsAbsent(const std::string& disk) const {
  return absences_.count(disk) > 0;
}

std::chrono::milliseconds AbsenceWatch::AbsentFor(
    const std::string& disk) const {
  const auto it = absences_.find(disk);
  return it == absences_.end() ? std::chrono::milliseconds(0) : it->second.time;
}

std::chrono::milliseconds AbsenceWatch::LimitOf(const Absence& absence) const {
  return absence.announced || absence.replaced ? limits_.announced
                                               : limits_.unannounced;
}

std::chrono::milliseconds AbsenceWatch::LimitOf(const std::string& disk) const {
  const auto it = absences_.find(disk);
  return it == absences_.end() ? limits_.unannounced : LimitOf(it->second);
}

bool AbsenceWatch::IsGone(const Absence& absence) const {
  return absence.probes >= kMinProbes && absence.time >= LimitOf(absence);
}

bool AbsenceWatch::IsGone(const std::string& disk) const {
  const auto it = absences_.find(disk);
  return it != absences_.end() && IsGone(it->second);
}

bool AbsenceWatch::HasGone() const {
  return std::any_of(absences_.begin(), absences_.end(),
                     [this](const auto& it) { return IsGone(it.second); });
}

bool AbsenceWatch::IsLost(const std::string& disk) const {
  const auto it = absences_.find(disk);
  return it != absences_.end() &&
         (it->second.replaced || it->second.time >= limits_.lost);
}

}  // namespace comfreyfold
