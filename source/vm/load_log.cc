#include "vm/load_log.h"

#include <ctime>

#include "net/repeat.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kInterval{2000};

std::chrono::milliseconds ProcessorTime() {
  return std::chrono::milliseconds(std::clock() / (CLOCKS_PER_SEC / 1000));
}

void LogReceived(DecisionLog& log,
                 LoopDelay& delay,
                 StorageNode& node,
                 std::chrono::milliseconds processor_time) {
  const auto counts = node.TakeCounts();
  log.Write("storage_received", "",
            {{"turns", counts.turns},
             {"reservations", counts.reservations},
             {"settlements", counts.settlements},
             {"chains", counts.chains},
             {"uses", counts.uses},
             {"probes", counts.probes},
             {"copies", counts.copies},
             {"abandoned", counts.abandoned},
             {"delay_ms", delay.TakeLongest()},
             {"processor_ms", processor_time},
             {"stored_turns", static_cast<int>(node.turns().size())}});
}

}  // namespace

void LogLoad(Fiber& fiber,
             DecisionLog& log,
             LoopDelay& delay,
             StorageNode* node,
             StorageClient* client) {
  auto used = ProcessorTime();
  RepeatForever(fiber, "the log of the load", [&] {
    fiber.Sleep(kInterval);
    const auto before = used;
    used = ProcessorTime();
    if (node != nullptr) {
      LogReceived(log, delay, *node, used - before);
    }
    if (client != nullptr) {
      client->LogSent();
    }
  });
}

}  // namespace comfreyfold
