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

void LogWritten(DecisionLog& log, StorageNode& node) {
  const auto counts = node.disk_log().TakeWriteCounts();
  log.Write("disk_written", "",
            {{"syncs", counts.syncs},
             {"files", counts.files},
             {"entries", counts.foreground.entries},
             {"bytes", counts.foreground.bytes},
             {"wait_ms", counts.foreground.longest_wait},
             {"wait_syncs", counts.foreground.most_syncs},
             {"background_entries", counts.background.entries},
             {"background_bytes", counts.background.bytes},
             {"background_wait_ms", counts.background.longest_wait},
             {"background_wait_syncs", counts.background.most_syncs}});
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
      LogWritten(log, *node);
    }
    if (client != nullptr) {
      client->LogSent();
    }
  });
}

}  // namespace comfreyfold
