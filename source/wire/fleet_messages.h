#ifndef WIRE_FLEET_MESSAGES_H_
#define WIRE_FLEET_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/backend_server.h"
#include "core/kept_fleet.h"
#include "core/load_report_table.h"
#include "core/request_quarantine.h"
#include "core/server_fault_table.h"
#include "core/server_limit_table.h"
#include "core/storage_list.h"

namespace comfreyfold {

// A daemon's request for the state of the deployment. It says what the sender
// already has, so that the reply can leave that out.
struct FleetQuestion {
  std::int64_t config_version = 0;
  std::int64_t list_version = 0;
  std::uint64_t servers_hash = 0;
  std::vector<LoadReport> loads;  // Loads that servers reported to the sender.
  // Maximum age of the loads that the sender asks for; 0: it asks for none.
  std::chrono::milliseconds loads_within{0};
  std::string address;  // Of the sender; empty if it serves no clients.
  std::vector<ServerFault>
      faults;  // Recorded by the sender since it last asked.
  std::vector<SuspectRun> suspect_runs;  // The same.
  // Hash of the requests that the sender has quarantined. If the receiver has
  // quarantined others, they tell each other all runs of these requests.
  std::uint64_t blamed_hash = 0;
  std::vector<ServerLimit> limits;  // If the receiver may know others.
  std::uint64_t limits_hash = 0;    // Of all that the sender knows.
};

// The state of the deployment as far as the replying daemon knows it, without
// the parts that the sender of the request already has.
struct FleetNews {
  std::int64_t config_version = 0;  // 0: no configuration is known.
  // Time since the key-value service confirmed the configuration.
  std::chrono::milliseconds config_age{0};
  std::string config_text;  // Empty unless newer than the sender's.
  // Time since the servers were read; negative: they are not known.
  std::chrono::milliseconds servers_age{-1};
  std::uint64_t servers_hash = 0;
  std::optional<std::vector<BackendServer>> servers;
  std::optional<StorageList> members;
  std::set<std::string> retiring;      // VMs whose disks are to be emptied.
  std::int64_t retiring_revision = 0;  // Of the store, when it was read.
  std::vector<LoadReport> loads;
  std::vector<std::string> daemons;  // Addresses of some client daemons.
  std::vector<ServerFault> faults;
  // What the replying daemon's disk keeps; sent only to a daemon without a
  // configuration, by one that has none from the key-value service either.
  std::optional<KeptFleet> kept;
  std::string disk;  // Id of the replying daemon's disk; empty if it has none.
  std::vector<SuspectRun> suspect_runs;
  std::uint64_t blamed_hash = 0;
  std::vector<ServerLimit>
      limits;  // If the sender of the request knows others.
  std::uint64_t limits_hash = 0;
};

// Thrift compact encoding. The Decode functions throw WireError.
std::string Encode(const FleetQuestion& question);
std::string Encode(const FleetNews& news);
std::string Encode(const KeptFleet& kept);
FleetQuestion DecodeFleetQuestion(const std::string& buf);
FleetNews DecodeFleetNews(const std::string& buf);
KeptFleet DecodeKeptFleet(const std::string& buf);

// Returns a hash of the registrations that does not depend on their order.
std::uint64_t HashOf(const std::vector<BackendServer>& servers);

}  // namespace comfreyfold

#endif  // WIRE_FLEET_MESSAGES_H_
