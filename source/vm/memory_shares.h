#ifndef VM_MEMORY_SHARES_H_
#define VM_MEMORY_SHARES_H_

#include <cstdint>
#include <memory>

#include "core/memory_budget.h"
#include "net/http_server.h"

namespace comfreyfold {

// Shares of the memory limit of a VM, in bytes; a limit of 0 means none.

// Returns the limits of the server for requests of other daemons.
HttpLimits InternalHttpLimits(std::int64_t memory_bytes);
// Returns the budget for one kind of bodies.
std::shared_ptr<MemoryBudget> BodyBudget(std::int64_t memory_bytes);

}  // namespace comfreyfold

#endif  // VM_MEMORY_SHARES_H_
