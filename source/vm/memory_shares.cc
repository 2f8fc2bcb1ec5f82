#include "vm/memory_shares.h"

#include <chrono>

namespace comfreyfold {

namespace {

// The bodies of clients' requests with the chains before them, those of
// answers, and those of requests of other daemons may each use the memory limit
// divided by this number. Each is copied a few times on its way.
constexpr std::int64_t kBodyMemoryDivisor = 8;
// Largest body of a request between daemons.
constexpr std::uint64_t kInternalBodyBytes = 64UL * 1024 * 1024;
// Far longer than connections between daemons usually stay unused.
constexpr std::chrono::milliseconds kInternalIdleTimeout{15000};
// Connections from other daemons, each with its coroutine, may use the memory
// limit divided by this number.
constexpr std::int64_t kPeerMemoryDivisor = 2;
constexpr std::int64_t kBytesPerConnection = 48 * 1024;

}  // namespace

HttpLimits InternalHttpLimits(std::int64_t memory_bytes) {
  HttpLimits out;
  if (memory_bytes > 0) {
    out.connections = static_cast<int>(memory_bytes / kPeerMemoryDivisor /
                                       kBytesPerConnection);
  }
  out.body_bytes = kInternalBodyBytes;
  out.idle_time = kInternalIdleTimeout;
  return out;
}

std::shared_ptr<MemoryBudget> BodyBudget(std::int64_t memory_bytes) {
  return std::make_shared<MemoryBudget>(
      static_cast<std::size_t>(memory_bytes / kBodyMemoryDivisor));
}

}  // namespace comfreyfold
