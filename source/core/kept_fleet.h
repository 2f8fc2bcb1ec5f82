#ifndef CORE_KEPT_FLEET_H_
#define CORE_KEPT_FLEET_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_server.h"
#include "core/request_quarantine.h"
#include "core/storage_list.h"

namespace comfreyfold {

// What a disk keeps of the platform's last word, for a start at which the
// key-value service does not answer.
struct KeptFleet {
  std::int64_t config_version = 0;
  std::string config_text;
  std::vector<BackendServer> servers;
  std::chrono::milliseconds kept_at{0};  // Time of day.
  // Of the quarantined requests; their ages are from `kept_at`.
  std::vector<SuspectRun> suspect_runs;
};

// Chooses the state to serve with after such a start from what the disks keep.
// A disk may have been emptied, damaged or cut off before, and then has nothing
// or an older version. So many disks have to answer that one of them has each
// version which more disks than the tolerated losses keep.
class KeptFleetQuorum {
 public:
  void Add(const std::string& disk, KeptFleet kept);

  // The newest state, or null while too few disks of `list` have answered.
  const KeptFleet* Newest(const StorageList& list, int tolerated_losses) const;

 private:
  bool HasAnswers(const std::vector<StorageMember>& members,
                  int tolerated_losses) const;

  std::map<std::string, KeptFleet> kept_;  // By disk.
};

}  // namespace comfreyfold

#endif  // CORE_KEPT_FLEET_H_
