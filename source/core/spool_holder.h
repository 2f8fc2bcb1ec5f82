#ifndef CORE_SPOOL_HOLDER_H_
#define CORE_SPOOL_HOLDER_H_

#include <cstddef>
#include <string>
#include <vector>

namespace comfreyfold {

// A daemon that stores a lane's blocks during an outage of the key-value
// service.
struct SpoolHolder {
  std::string daemon;
  // Id created with the spool folder, so that a folder that lost its contents
  // has another id.
  std::string spool;
  bool operator==(const SpoolHolder&) const = default;
};

struct SpoolCandidate {
  SpoolHolder holder;
  std::string data_centre;
};

// During an outage a block is committed once this many holders have stored it.
inline constexpr std::size_t kHoldersPerLane = 2;

// Returns the holders for `lane`, whose owner is in `data_centre`. They are in
// other data centres than the owner and each other as far as possible. Empty
// when there are too few candidates.
std::vector<SpoolHolder> ChooseHolders(
    int lane,
    const std::string& data_centre,
    const std::vector<SpoolCandidate>& candidates);

}  // namespace comfreyfold

#endif  // CORE_SPOOL_HOLDER_H_
