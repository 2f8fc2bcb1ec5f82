#ifndef WIRE_FLEET_MESSAGES_H_
#define WIRE_FLEET_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/backend_server.h"
#include "core/load_report_table.h"
#include "core/storage_list.h"

namespace comfreyfold {

// What the asker knows already.
struct FleetQuestion {
  std::int64_t config_version = 0;
  std::int64_t list_version = 0;
  std::uint64_t servers_hash = 0;
  std::vector<LoadReport> loads;  // That servers told the asker lately.
  std::chrono::milliseconds loads_within{0};  // Those it wants; 0: none.
  std::string address;                        // Where other daemons reach it.
};

// What a daemon knows of the deployment; what the asker has is left out.
struct FleetNews {
  std::int64_t config_version = 0;          // 0: none is known.
  std::chrono::milliseconds config_age{0};  // Since the service confirmed it.
  std::string config_text;
  std::chrono::milliseconds servers_age{-1};  // Negative: none are known.
  std::uint64_t servers_hash = 0;
  std::optional<std::vector<BackendServer>> servers;
  std::optional<StorageList> members;
  std::set<std::string> retiring;  // VMs whose disks are to be emptied.
  std::vector<LoadReport> loads;
  std::vector<std::string> daemons;  // Addresses of some that serve clients.
};

// Thrift compact encoding; Decode throws WireError.
std::string Encode(const FleetQuestion& question);
std::string Encode(const FleetNews& news);
FleetQuestion DecodeFleetQuestion(const std::string& buf);
FleetNews DecodeFleetNews(const std::string& buf);

// Equal for equal registrations.
std::uint64_t HashOf(const std::vector<BackendServer>& servers);

}  // namespace comfreyfold

#endif  // WIRE_FLEET_MESSAGES_H_
