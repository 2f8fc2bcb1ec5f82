#include "core/program_limits.h"

#include "core/hash.h"

namespace comfreyfold {

bool TimeLimitExceeded(const ProgramState& program,
                       const Contract& contract,
                       std::chrono::milliseconds now) {
  return program.started_at.count() > 0 &&
         now - program.started_at > contract.max_program_time;
}

bool IdleLimitExceeded(const ProgramState& program,
                       const Contract& contract,
                       std::chrono::milliseconds now) {
  return program.last_begun_at.count() > 0 &&
         now - program.last_begun_at > contract.max_program_idle;
}

int LaneConcurrency(std::string_view customer,
                    int concurrency,
                    int lane,
                    int lanes) {
  // The remainder starts at a different lane for each customer, so that small
  // limits do not all go to the same owner.
  const auto n = static_cast<std::uint64_t>(lanes);
  const auto rank = (static_cast<std::uint64_t>(lane) + Hash64(customer)) % n;
  return concurrency / lanes +
         (rank < static_cast<std::uint64_t>(concurrency % lanes) ? 1 : 0);
}

}  // namespace comfreyfold
