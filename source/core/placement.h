#ifndef CORE_PLACEMENT_H_
#define CORE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold {

enum class PlacementKind { kModel, kAdapter, kRole };

// What the operators want on how many engines.
struct Placement {
  PlacementKind kind = PlacementKind::kModel;
  std::string name;
  std::int64_t version = 0;  // A role has none.
  int copies = 1;
};

// What an engine says that it has loaded.
struct EngineState {
  std::map<std::string, std::int64_t> models;  // Version by name.
  std::map<std::string, std::int64_t> adapters;
  std::string role;
  std::int64_t fencing = 0;  // Of the last order it carried out.
};

// Parses and checks the text of one placement. Throws IniError.
Placement ParsePlacement(const std::string& text, const std::string& file);

// The name of the placement's key in the key-value service.
std::string PlacementName(const Placement& placement);

// The placements that fall to `engine` among `engines`, the ids of all
// that may hold them, and that `state` does not show yet.
std::vector<Placement> MissingPlacements(
    const std::string& engine,
    const std::vector<std::string>& engines,
    const std::vector<Placement>& placements,
    const EngineState& state);

}  // namespace comfreyfold

#endif  // CORE_PLACEMENT_H_
