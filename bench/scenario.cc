#include "scenario.h"

namespace comfreyfold::bench {

std::vector<Scenario> AllScenarios() {
  std::vector<Scenario> out;
  out.push_back({.name = "rest", .base_load = 0.2, .flood_load = 0.1});
  out.push_back({.name = "load"});
  out.push_back({.name = "peak", .base_load = 0.6, .flood_load = 0.35});
  out.push_back({.name = "twice", .flood_load = 1.5});
  out.push_back({.name = "engine lost", .fault = Fault::kEngineLost});
  out.push_back({.name = "reports frozen", .fault = Fault::kReportsFrozen});
  out.push_back({.name = "daemon lost", .fault = Fault::kDaemonLost});
  return out;
}

Scenario RealRunScenario() {
  Scenario out{.name = "real run", .base_load = 0.8, .flood_load = 0};
  out.duration = std::chrono::seconds(10);
  out.daemons = 3;
  out.engines = 3;
  out.action_servers = 2;
  out.costs.slots = 4;
  out.costs.memory_tokens = 40000;
  out.shortened = true;
  return out;
}

}  // namespace comfreyfold::bench
