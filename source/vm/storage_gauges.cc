#include "vm/storage_gauges.h"

#include <chrono>

namespace comfreyfold {

void AddStorageGauges(Metrics& metrics,
                      const StorageNode& node,
                      const FleetView& view,
                      const StorageMembershipManager& manager) {
  metrics.AddGauge(
      "comfreyfold_turn_bytes", "Bytes of the turns stored here",
      [&node] { return static_cast<double>(node.turns().bytes()); });
  metrics.AddGauge(
      "comfreyfold_turn_bytes_limit",
      "Bytes of turns above which no further turn may begin; 0: no limit",
      [&node] {
        return static_cast<double>(node.room_limits().new_turn_bytes());
      });
  metrics.AddGauge(
      "comfreyfold_chain_bytes_limit",
      "Bytes of turns above which no new chain may begin while no disk is "
      "lost; 0: no limit",
      [&node] {
        return static_cast<double>(node.room_limits().new_chain_bytes());
      });
  metrics.AddGauge(
      "comfreyfold_turn_memory_bytes",
      "Memory of the turns stored here; contents beyond a third of the VM's "
      "memory stay on the disk",
      [&node] { return static_cast<double>(node.turns().memory_bytes()); });
  metrics.AddGauge(
      "comfreyfold_disk_log_bytes",
      "Bytes of the log on the disk, with records that are no longer needed",
      [&node] { return static_cast<double>(node.disk_log_bytes()); });
  metrics.AddGauge(
      "comfreyfold_storage_members", "Disks in the list of storage members",
      [&view] {
        return static_cast<double>(view.storage_list().members.size());
      });
  metrics.AddGauge(
      "comfreyfold_storage_members_absent",
      "Watched storage members that do not answer; turns stored there have "
      "one copy less",
      [&manager] { return static_cast<double>(manager.absent_members()); });
  metrics.AddGauge(
      "comfreyfold_storage_change_seconds",
      "How long the present change of the storage members has been under way; "
      "0: there is none",
      [&manager] {
        return std::chrono::duration<double>(manager.ChangeTime()).count();
      });
}

}  // namespace comfreyfold
