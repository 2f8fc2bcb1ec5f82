#include "core/placement.h"

#include <algorithm>

#include "core/hash.h"
#include "core/ini_reader.h"

namespace comfreyfold {

namespace {

constexpr int kMostCopies = 10000;
constexpr std::int64_t kMostVersion = 1'000'000'000;
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

void TakeKind(IniReader& reader, PlacementKind& out) {
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

bool IsName(const std::string& text) {
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

bool Shows(const EngineState& state, const Placement& placement) {
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
  TakeKind(reader, out.kind);
  reader.Require(kSection, "name");
  reader.Read(kSection, "name", out.name);
  if (reader.Has(kSection, "name") && !IsName(out.name)) {
    reader.AddFault(kSection, "name", "write letters, digits, '-', '_' or '.'");
  }
  if (out.kind != PlacementKind::kRole) {
    reader.Require(kSection, "version");
    reader.Read(kSection, "version", out.version, 1, kMostVersion);
  }
  reader.Read(kSection, "copies", out.copies, 0, kMostCopies);
  reader.Finish();
  return out;
}

std::string PlacementName(const Placement& placement) {
  return std::string(KindName(placement.kind)) + "-" + placement.name;
}

std::vector<Placement> MissingAt(const std::string& engine,
                                 const std::vector<std::string>& engines,
                                 const std::vector<Placement>& placements,
                                 const EngineState& state) {
  std::vector<Placement> out;
  for (const auto& it : placements) {
    const auto order = RendezvousOrder(PlacementName(it), engines);
    const auto last = order.begin() +
                      std::min<std::ptrdiff_t>(
                          it.copies, static_cast<std::ptrdiff_t>(order.size()));
    if (std::find(order.begin(), last, engine) != last && !Shows(state, it)) {
      out.push_back(it);
    }
  }
  return out;
}

}  // namespace comfreyfold
