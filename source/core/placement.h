#ifndef CORE_PLACEMENT_H_
#define CORE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold {

enum class PlacementKind { kModel, kAdapter, kRole };

// A model, adapter or role that the operators want on a number of engines.
struct Placement {
  PlacementKind kind = PlacementKind::kModel;
  std::string name;
  std::int64_t version = 0;  // 0 for a role.
  int copies = 1;
};

// What an engine reports as loaded.
struct EngineState {
  std::map<std::string, std::int64_t> models;  // Version by name.
  std::map<std::string, std::int64_t> adapters;
  std::string role;
  std::int64_t fencing = 0;  // Fencing number of its last executed order.
};

// Parses and validates the text of one placement. Throws IniError.
Placement ParsePlacement(const std::string& text, const std::string& file);

// The name of the placement's key in the key-value service.
std::string PlacementName(const Placement& placement);

// Returns the placements that are assigned to `engine` and that its `state`
// does not show as loaded. `engines` holds the ids of all eligible engines.
std::vector<Placement> MissingPlacements(
    const std::string& engine,
    const std::vector<std::string>& engines,
    const std::vector<Placement>& placements,
    const EngineState& state);

}  // namespace comfreyfold

#endif  // CORE_PLACEMENT_H_
