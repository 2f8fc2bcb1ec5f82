#ifndef FLEET_VM_SETTINGS_H_
#define FLEET_VM_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

// What one process is told of its VM and of the deployment.
struct VmSettings {
  std::string vm;
  std::string data_centre;
  std::string internal_address;  // ip:port for the other daemons.
  std::string peer_address;      // Where these reach it, if elsewhere.
  std::string client_address;    // Empty on a VM that serves no clients.
  std::string ready_address;     // Empty likewise.
  std::string control_address;   // Where `seeds` of other VMs point; or empty.
  std::vector<std::string> seeds;
  std::string store_address;
  std::string data_folder;   // Empty on a VM without a disk.
  bool first_start = false;  // The whole system starts for the first time.
  std::int64_t memory_bytes = 0;
  std::int64_t disk_bytes = 0;
  int max_descriptors = 0;
  int tolerated_losses = 0;  // Disks that may be lost at the same time.
  std::chrono::milliseconds stop_grace{8000};  // From SIGTERM to SIGKILL.
  std::chrono::milliseconds server_drain_time{
      2000};  // To leave a server alone.
  std::chrono::milliseconds config_apply_time{
      2000};  // To follow a new version.
  // Until tokens that were reserved and not used can be reserved again.
  std::chrono::milliseconds max_settlement_time{1000};
};

}  // namespace comfreyfold

#endif  // FLEET_VM_SETTINGS_H_
