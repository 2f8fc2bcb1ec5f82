#include "server/backend_chooser.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kRetrySoon{500};
}  // namespace

InFlight::InFlight(BackendDirectory& directory, Backend& backend)
    : directory_(directory), id_(backend.vm.id) {
  ++backend.in_flight;
}

InFlight::InFlight(BackendDirectory& directory, const std::string& id)
    : InFlight(directory, *directory.Find(id)) {}

InFlight::~InFlight() {
  if (auto* backend = directory_.Find(id_)) {
    --backend->in_flight;
  }
}

Backend& BackendChooser::ChooseEngine(const CallContext& context) {
  const auto servers = directory_.Serving(VmRole::kEngine, context.call.target);
  if (servers.empty()) {
    throw CallError(
        404, "no_engine",
        "no engine serves model '" + context.call.target + "'; check its name",
        Verdict::kNotRun, kRetrySoon);
  }
  const auto* program = context.state();
  if (program != nullptr) {
    for (auto* it : servers) {
      if (program->holds_on.contains(it->vm.id)) {
        return *it;
      }
    }
  }
  return **std::min_element(servers.begin(), servers.end(),
                            [](const Backend* a, const Backend* b) {
                              return a->in_flight < b->in_flight;
                            });
}

Backend& BackendChooser::ChooseService(const CallContext& context) {
  const auto servers =
      directory_.Serving(VmRole::kService, context.call.target);
  if (servers.empty()) {
    throw CallError(
        404, "no_service",
        "no server offers '" + context.call.target + "'; check its name",
        Verdict::kNotRun, kRetrySoon);
  }
  return **std::min_element(servers.begin(), servers.end(),
                            [](const Backend* a, const Backend* b) {
                              return a->in_flight < b->in_flight;
                            });
}

}  // namespace comfreyfold
