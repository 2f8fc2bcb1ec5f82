#ifndef BENCH_SCENARIO_H_
#define BENCH_SCENARIO_H_

#include <chrono>
#include <string>
#include <vector>

#include "workload.h"

namespace comfreyfold::bench {

enum class Fault {
  kNone,
  kEngineLost,
  kReportsFrozen,
  kDaemonLost,
};

// The servers, the load, and what goes wrong.
struct Scenario {
  std::string name = "load";
  Fault fault = Fault::kNone;
  double base_load = 0.5;
  double flood_load = 0.3;
  std::chrono::seconds duration{90};
  int daemons = 6;
  int engines = 10;
  int action_servers = 10;
  int action_slots = 4;
  EngineCosts costs;
  bool shortened = false;  // Programs and pauses.
};

// At rest, under load, at twice capacity, and under load with each fault.
std::vector<Scenario> AllScenarios();

// The size of the run on real processes.
Scenario RealRunScenario();

}  // namespace comfreyfold::bench

#endif  // BENCH_SCENARIO_H_
