#include "vm/load_log.h"

#include "net/repeat.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kInterval{2000};

void LogReceived(DecisionLog& log, LoopDelay& delay, StorageNode& node) {
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
             {"stored_turns", static_cast<int>(node.turns().size())}});
}

}  // namespace

void LogLoad(Fiber& fiber,
             DecisionLog& log,
             LoopDelay& delay,
             StorageNode* node,
             StorageClient* client) {
  RepeatForever(fiber, "the log of the load", [&] {
    fiber.Sleep(kInterval);
    if (node != nullptr) {
      LogReceived(log, delay, *node);
    }
    if (client != nullptr) {
      client->LogSent();
    }
  });
}

}  // namespace comfreyfold
