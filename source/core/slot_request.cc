#include "core/slot_request.h"

#include "core/hash.h"

namespace comfreyfold {

namespace {

// Thresholds on the load level, which is the number of requests at servers per
// slot, for programs that have not begun. Below the sum of kBeginLevel and the
// terms for priority and stage all of them begin; above it a share that falls
// to none over kBeginSpread. Above a level of 0.9 each further program slows
// all others by about the time that deployments grant a program beyond its time
// on idle servers. The most urgent priority is refused last.
constexpr double kBeginLevel = 0.76;
constexpr double kBeginLevelUrgent = 0.06;
constexpr double kBeginLevelReturning = 0.05;
// Replaces kBeginLevelReturning for a program that was refused for so long that
// it can no longer finish in time: it begins only while there is room for all.
constexpr double kBeginLevelLate = -0.1;
constexpr double kBeginSpread = 0.15;

// A program that returns after a refusal goes before new ones, unless it would
// take the place of one that can still finish in time.
double StageTerm(const SlotRequest& request) {
  if (request.stage != ProgramStage::kReturning) {
    return 0;
  }
  return request.late || request.late_at_present_load ? kBeginLevelLate
                                                      : kBeginLevelReturning;
}

}  // namespace

// Programs that have begun go before all others: under overload, beginning
// every program would make all of them late and waste the work done for those
// that then fail. At equal priority and stage, programs that can still finish
// in time go before those that cannot, the earliest must_start_by first.
bool GoesBefore(const SlotRequest& a, const SlotRequest& b) {
  const bool a_started = a.stage == ProgramStage::kStarted;
  if (a_started != (b.stage == ProgramStage::kStarted)) {
    return a_started;
  }
  if (a.priority != b.priority) {
    return a.priority < b.priority;
  }
  if (a.stage != b.stage) {
    return a.stage < b.stage;
  }
  if (a.late != b.late) {
    return b.late;
  }
  if (a.must_start_by != b.must_start_by && !a.late) {
    return a.must_start_by < b.must_start_by;
  }
  return a.arrived < b.arrived;
}

// A program that begins adds its turns to the load for seconds: admitting more
// programs than the servers can carry makes all of them late and keeps the load
// high long after a burst has ended.
bool MayBeginAt(double level, const SlotRequest& request, TimePoint now) {
  if (request.stage == ProgramStage::kStarted) {
    return true;
  }
  const double threshold = kBeginLevel +
                           kBeginLevelUrgent / (1 + request.priority) +
                           StageTerm(request);
  // All daemons get the same load reports. The draw keeps them from admitting
  // and refusing programs in lockstep.
  const auto draw =
      Hash64(request.session,
             static_cast<std::uint64_t>(now.time_since_epoch().count()));
  const double share = static_cast<double>(draw % 1000) / 1000;
  return level < threshold + kBeginSpread * share;
}

}  // namespace comfreyfold
