#ifndef FLEET_VM_SETTINGS_H_
#define FLEET_VM_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

// Settings of one process: of its VM and of the deployment.
struct VmSettings {
  std::string vm;
  std::string data_centre;
  std::string internal_address;  // ip:port to listen on for other daemons.
  // Address at which other daemons reach this one, if not `internal_address`.
  std::string peer_address;
  std::string client_address;  // Empty on a VM that serves no clients.
  std::string ready_address;   // For readiness checks; empty likewise.
  // Further address for other daemons, which may be in the `seeds` of other
  // VMs. May be empty.
  std::string control_address;
  // Daemons to query while no others are known.
  std::vector<std::string> seeds;
  std::string store_address;
  std::string data_folder;   // Empty on a VM without a disk.
  bool first_start = false;  // This is the first start of the whole system.
  std::int64_t memory_bytes = 0;
  std::int64_t disk_bytes = 0;
  int max_descriptors = 0;   // 0 means that the default limits apply.
  int tolerated_losses = 0;  // Disks that may be lost simultaneously.
  std::chrono::milliseconds stop_grace{8000};  // Between SIGTERM and SIGKILL.
  // Time within which this process has to stop using a server that leaves.
  std::chrono::milliseconds server_drain_time{2000};
  // Time within which a new version of the configuration has to be applied.
  std::chrono::milliseconds config_apply_time{2000};
  // Time until tokens that were reserved but not used can be reserved again.
  std::chrono::milliseconds max_settlement_time{1000};
  // Time that a disk which joins has to copy what it lacks.
  std::chrono::milliseconds catch_up_time{5000};
};

}  // namespace comfreyfold

#endif  // FLEET_VM_SETTINGS_H_
