#ifndef STORAGE_FLEET_STATE_FILE_H_
#define STORAGE_FLEET_STATE_FILE_H_

#include <cstdint>
#include <string>

#include "core/kept_fleet.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "storage/disk_log.h"

namespace comfreyfold {

// Keeps the newest configuration, registrations and quarantined requests of a
// daemon's view on its disk. After all daemons have lost power, they can serve
// by it while the key-value service does not answer.
class FleetStateFile {
 public:
  // Reads the file in `folder`. `disk_log` writes to the same folder.
  FleetStateFile(FleetView& view,
                 DecisionLog& log,
                 DiskLog& disk_log,
                 const std::string& folder);

  // What the disk keeps; version 0 if it keeps nothing that can be read.
  const KeptFleet& kept() const { return kept_; }

 private:
  void Load(const std::string& folder);
  void RestoreQuarantine();
  void SaveIfChanged();

  FleetView& view_;
  DecisionLog& log_;
  DiskLog& disk_log_;
  KeptFleet kept_;
  std::uint64_t kept_servers_hash_ = 0;
  std::uint64_t kept_blamed_hash_ = 0;
  bool saving_ = false;
};

}  // namespace comfreyfold

#endif  // STORAGE_FLEET_STATE_FILE_H_
