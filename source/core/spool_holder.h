#ifndef CORE_SPOOL_HOLDER_H_
#define CORE_SPOOL_HOLDER_H_

#include <cstddef>
#include <string>
#include <vector>

namespace comfreyfold {

// A daemon that keeps a lane's blocks while the key-value service is out.
struct SpoolHolder {
  std::string daemon;
  std::string spool;  // Made once in its folder: an emptied one has another.
  bool operator==(const SpoolHolder&) const = default;
};

struct SpoolCandidate {
  SpoolHolder holder;
  std::string data_centre;
};

// A block counts as committed without the service when so many have it.
inline constexpr std::size_t kHoldersPerLane = 2;

// The holders for `lane` of an owner in `data_centre`: in other data centres
// than the owner's and each other's where there are. Empty when there are too
// few candidates.
std::vector<SpoolHolder> ChooseHolders(
    int lane,
    const std::string& data_centre,
    const std::vector<SpoolCandidate>& candidates);

}  // namespace comfreyfold

#endif  // CORE_SPOOL_HOLDER_H_
