// The part of StorageClient that reports what it sends.

#include "storage/storage_client.h"

namespace comfreyfold {

void StorageClient::LogSent() {
  const auto sent = replicas_.TakeCounts();
  if (sent.first == 0 && sent.probes == 0) {
    return;
  }
  log_.Write("storage_sent", "",
             {{"first", sent.first},
              {"hedges", sent.hedges},
              {"overdue", sent.overdue},
              {"widened", sent.widened},
              {"resent", sent.resent},
              {"relayed", sent.relayed},
              {"probes", sent.probes},
              {"failed", sent.failed}});
}

}  // namespace comfreyfold
