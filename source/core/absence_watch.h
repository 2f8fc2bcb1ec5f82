#ifndef CORE_ABSENCE_WATCH_H_
#define CORE_ABSENCE_WATCH_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "core/time_point.h"

namespace comfreyfold {

// How long disks have left probes unanswered, as one daemon sees it. Time in
// which this daemon sent no probes does not count: it may have stood still.
class AbsenceWatch {
 public:
  struct Limits {
    // Absence after which a disk counts as gone for good.
    std::chrono::milliseconds unannounced;
    // The same for a disk whose daemon has announced its stop, or whose VM has
    // another disk now.
    std::chrono::milliseconds announced;
    // Absence after which the records of a disk count as lost, although more
    // disks than are tolerated are gone.
    std::chrono::milliseconds lost;
  };

  explicit AbsenceWatch(Limits limits) : limits_(limits) {}

  // Records that `disk` answered a probe. Returns whether it was absent.
  bool Answered(const std::string& disk, TimePoint now);
  // Records that it did not, or that its VM has another disk. Return whether
  // this begins an absence.
  bool Unanswered(const std::string& disk, TimePoint now);
  bool Replaced(const std::string& disk, TimePoint now);
  // Records that the daemon of `disk` announced its stop.
  void Stopping(const std::string& disk, TimePoint now);
  // Forgets all disks but `disks`.
  void Retain(const std::set<std::string>& disks);

  std::size_t absent() const { return absences_.size(); }
  bool IsAbsent(const std::string& disk) const;
  // How long `disk` has been absent, and after which time it counts as gone.
  std::chrono::milliseconds AbsentFor(const std::string& disk) const;
  std::chrono::milliseconds LimitOf(const std::string& disk) const;

  // Whether `disk` is not expected to come back.
  bool IsGone(const std::string& disk) const;
  bool HasGone() const;
  // Whether nothing is expected of the records of `disk` any more.
  bool IsLost(const std::string& disk) const;

 private:
  struct Absence {
    TimePoint seen_at{};  // The last probe or announcement.
    std::chrono::milliseconds time{0};
    int probes = 0;  // Unanswered ones.
    bool announced = false;
    bool replaced = false;
  };

  // Adds the time since the last probe. Returns whether this is the first one.
  bool Prolong(Absence& absence, TimePoint now) const;
  std::chrono::milliseconds LimitOf(const Absence& absence) const;
  bool IsGone(const Absence& absence) const;

  Limits limits_;
  std::map<std::string, Absence> absences_;  // By disk.
};

}  // namespace comfreyfold

#endif  // CORE_ABSENCE_WATCH_H_
