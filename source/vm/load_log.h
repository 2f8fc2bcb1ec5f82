#ifndef VM_LOAD_LOG_H_
#define VM_LOAD_LOG_H_

#include "fleet/decision_log.h"
#include "net/loop_delay.h"
#include "storage/storage_client.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Writes a line on the load of this daemon at regular intervals. `node` and
// `client` may be null. Does not return.
void LogLoad(Fiber& fiber,
             DecisionLog& log,
             LoopDelay& delay,
             StorageNode* node,
             StorageClient* client);

}  // namespace comfreyfold

#endif  // VM_LOAD_LOG_H_
