#ifndef CORE_PROGRAM_SLACK_H_
#define CORE_PROGRAM_SLACK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "core/time_point.h"

namespace comfreyfold {

// How much delay each program can still take and finish in time. A program's
// length is not known, but the time that it was given when it began is a
// multiple of what it needs on idle servers: what is beyond that may be lost
// to waiting, and every turn that takes longer than on an idle server uses
// some of it up. Under more load than the servers carry this tells the
// programs that can still be saved from those that cannot.
class ProgramSlack {
 public:
  // A turn begins: `finish_in` is what is left of the program's time.
  void OnTurnStart(const std::string& program,
                   std::chrono::milliseconds finish_in,
                   TimePoint now);

  // The program has existed for `age` without a turn served: it lost all of
  // that to waiting.
  void OnRejections(const std::string& program,
                    std::chrono::milliseconds finish_in,
                    std::chrono::milliseconds age);

  // A turn of `events` events took `took`, waits included.
  void OnTurnEnd(const std::string& program,
                 std::chrono::milliseconds took,
                 std::chrono::milliseconds first_event,
                 std::int64_t events);

  // Delay that the program can still take; negative when it will be late.
  std::chrono::milliseconds Remaining(const std::string& program) const;

  // Forgets programs that are long over.
  void Expire(TimePoint now);
  std::size_t size() const { return programs_.size(); }

 private:
  struct Program {
    std::chrono::milliseconds allowance{0};
    std::chrono::milliseconds lost{0};
    TimePoint finish_by{};
  };

  std::unordered_map<std::string, Program> programs_;
  // Smoothed low ends: what an idle server takes.
  double event_ms_ = 0;
  double first_event_ms_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_PROGRAM_SLACK_H_
