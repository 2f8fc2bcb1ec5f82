#ifndef CORE_PROGRAM_LIMITS_H_
#define CORE_PROGRAM_LIMITS_H_

#include <chrono>
#include <string_view>

#include "core/contract.h"
#include "core/lane_state.h"

namespace comfreyfold {

// Whether the program has lasted longer than its contract allows. `now` is the
// time since the Unix epoch.
bool TimeLimitExceeded(const ProgramState& program,
                       const Contract& contract,
                       std::chrono::milliseconds now);

// Whether the program has begun no call for longer than its contract allows, in
// which case its client has most likely died.
bool IdleLimitExceeded(const ProgramState& program,
                       const Contract& contract,
                       std::chrono::milliseconds now);

// The part of the customer's `concurrency` limit that belongs to `lane`. The
// parts of all `lanes` add up to the limit, whichever daemons own them.
int LaneConcurrency(std::string_view customer,
                    int concurrency,
                    int lane,
                    int lanes);

}  // namespace comfreyfold

#endif  // CORE_PROGRAM_LIMITS_H_
