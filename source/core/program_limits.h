#ifndef CORE_PROGRAM_LIMITS_H_
#define CORE_PROGRAM_LIMITS_H_

#include <chrono>
#include <string_view>

#include "core/contract.h"
#include "core/lane_state.h"

namespace comfreyfold {

// True when the program has lasted longer than its contract allows; `now`
// is the time since 1970.
bool TimeLimitExceeded(const ProgramState& program,
                       const Contract& contract,
                       std::chrono::milliseconds now);

// True when the program has begun no call for longer than its contract
// allows: whoever ran it has most likely died.
bool IdleLimitExceeded(const ProgramState& program,
                       const Contract& contract,
                       std::chrono::milliseconds now);

// The part of `concurrency` that goes with owning `lane`: over all `lanes`
// the parts add up to it, whoever owns which.
int LaneConcurrency(std::string_view customer,
                    int concurrency,
                    int lane,
                    int lanes);

}  // namespace comfreyfold

#endif  // CORE_PROGRAM_LIMITS_H_
