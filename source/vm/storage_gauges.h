#ifndef VM_STORAGE_GAUGES_H_
#define VM_STORAGE_GAUGES_H_

#include "fleet/fleet_view.h"
#include "log/metrics.h"
#include "storage/storage_membership_manager.h"
#include "storage/storage_node.h"

namespace comfreyfold {

// Registers the gauges of a storage daemon with `metrics`, which the other
// arguments must outlive.
void AddStorageGauges(Metrics& metrics,
                      const StorageNode& node,
                      const FleetView& view,
                      const StorageMembershipManager& manager);

}  // namespace comfreyfold

#endif  // VM_STORAGE_GAUGES_H_
