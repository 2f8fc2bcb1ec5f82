#ifndef CORE_PROGRAM_SLACK_H_
#define CORE_PROGRAM_SLACK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/time_point.h"

namespace comfreyfold {

// Tracks how much delay each program can still take and finish in time. The
// length of a program is not known, but the time that its client granted is a
// multiple of what it needs on idle servers. The rest is its allowance for
// delays, and every turn that takes longer than on an idle server uses up some
// of it. Under overload this separates the programs that can still finish in
// time from those that cannot.
class ProgramSlack {
 public:
  // Records the start of a turn. `finish_in` is the time left for the program.
  void OnTurnStart(const std::string& program,
                   std::chrono::milliseconds finish_in,
                   TimePoint now);

  // Records that the program has existed for `age` with all its requests
  // refused, which counts as delay.
  void OnRejections(const std::string& program,
                    std::chrono::milliseconds finish_in,
                    std::chrono::milliseconds age);

  // Records the end of a turn with `events` events. `duration` includes waits.
  void OnTurnEnd(const std::string& program,
                 std::chrono::milliseconds duration,
                 std::chrono::milliseconds first_event,
                 std::int64_t events);

  // The delay that the program can still take; negative when it will be late.
  std::chrono::milliseconds Remaining(const std::string& program) const;

  // Whether a program that begins now can only finish late, if its turns take
  // as much longer than on idle servers as turns do at present.
  bool IsLateIfBegunNow(const std::string& program) const;

  // Removes programs whose time ended long ago.
  void Expire(TimePoint now);
  std::size_t size() const { return programs_.size(); }

 private:
  struct Program {
    std::chrono::milliseconds allowance{0};
    std::chrono::milliseconds delay{0};
    TimePoint finish_by{};
  };

  std::unordered_map<std::string, Program> programs_;
  // Time between events and time to the first event on an idle server,
  // estimated as slowly rising minimums.
  double idle_event_ms_ = 0;
  double idle_first_event_ms_ = 0;
  // Moving average of the delay of a turn, as a share of its idle duration.
  double slowdown_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_PROGRAM_SLACK_H_
