#ifndef VM_STORAGE_RELAY_H_
#define VM_STORAGE_RELAY_H_

#include "fleet/fleet_view.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace comfreyfold {

// Forwards a storage request for a daemon that cannot reach the disk's daemon
// itself, and waits as long as that daemon does.
void RelayStorageRequest(Fiber& fiber,
                         HttpClient& http,
                         const FleetView& view,
                         const HttpRequest& request,
                         HttpExchange& exchange);

}  // namespace comfreyfold

#endif  // VM_STORAGE_RELAY_H_
