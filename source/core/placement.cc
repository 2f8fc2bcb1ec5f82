#include "core/placement.h"

#include <algorithm>

#include "core/hash.h"
#include "core/ini_reader.h"

namespace comfreyfold {

namespace {

constexpr int kMaxCopies = 10000;
constexpr std::int64_t kMaxVersion = 1'000'000'000;
constexpr char kSection[] = "placement";

const char* KindName(PlacementKind kind) {
  switch (kind) {
    case PlacementKind::kModel:
      return "model";
    case PlacementKind::kAdapter:
      return "adapter";
    case PlacementKind::kRole:
      return "role";
  }
  return "";
}

void ReadKind(IniReader& reader, PlacementKind& out) {
  std::string text = KindName(out);
  reader.Read(kSection, "kind", text);
  for (const auto it :
       {PlacementKind::kModel, PlacementKind::kAdapter, PlacementKind::kRole}) {
    if (text == KindName(it)) {
      out = it;
      return;
    }
  }
  reader.AddFault(kSection, "kind", "write model, adapter or role");
}

bool IsValidName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

bool HasVersion(const std::map<std::string, std::int64_t>& loaded,
                const Placement& placement) {
  const auto it = loaded.find(placement.name);
  return it != loaded.end() && it->second == placement.version;
}

bool IsLoaded(const EngineState& state, const Placement& placement) {
  switch (placement.kind) {
    case PlacementKind::kModel:
      return HasVersion(state.models, placement);
    case PlacementKind::kAdapter:
      return HasVersion(state.adapters, placement);
    case PlacementKind::kRole:
      return state.role == placement.name;
  }
  return false;
}

}  // namespace

Placement ParsePlacement(const std::string& text, const std::string& file) {
  Placement out;
  IniReader reader(text, file);
  ReadKind(reader, out.kind);
  reader.Require(kSection, "name");
  reader.Read(kSection, "name", out.name);
  if (reader.Has(kSection, "name") && !IsValidName(out.name)) {
    reader.AddFault(kSection, "name", "write letters, digits, '-', '_' or '.'");
  }
  if (out.kind != PlacementKind::kRole) {
    reader.Require(kSection, "version");
    reader.Read(kSection, "version", out.version, 1, kMaxVersion);
  }
  reader.Read(kSection, "copies", out.copies, 0, kMaxCopies);
  reader.Finish();
  return out;
}

std::string PlacementName(const Placement& placement) {
  return std::string(KindName(placement.kind)) + "-" + placement.name;
}

std::vector<Placement> MissingPlacements(
    const std::string& engine,
    const std::vector<std::string>& engines,
    const std::vector<Placement>& placements,
    const EngineState& state) {
  std::vector<Placement> out;
  for (const auto& it : placements) {
    const auto order = RendezvousOrder(PlacementName(it), engines);
    const auto assigned_end =
        order.begin() +
        std::min<std::ptrdiff_t>(it.copies,
                                 static_cast<std::ptrdiff_t>(order.size()));
    if (std::find(order.begin(), assigned_end, engine) != assigned_end &&
        !IsLoaded(state, it)) {
      out.push_back(it);
    }
  }
  return out;
}

}  // namespace comfreyfold
