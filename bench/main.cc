// Measures the decisions on generated programs: policies side by side.

#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "bench_run.h"
#include "report.h"

namespace comfreyfold::bench {
namespace {

struct Options {
  std::string policies;
  std::string workload;
  std::string scenario;
  int first_seed = 1;
  int seeds = 3;
  std::chrono::seconds duration{90};
  std::string csv;
};

std::vector<Policy> Chosen(const std::string& name) {
  if (name == "levers") {
    return Levers();
  }
  for (const auto& it : Levers()) {
    if (it.name == name) {
      return {it};
    }
  }
  return name == "trade" ? Trade() : AllPolicies();
}

Row Measure(const Policy& policy,
            const Scenario& scenario,
            WorkloadKind kind,
            int first_seed,
            int seeds) {
  Row row{ToString(kind), scenario.name, policy.name, {}};
  for (int seed = first_seed; seed < first_seed + seeds; ++seed) {
    row.result.Add(
        BenchRun(policy, scenario, kind, static_cast<std::uint64_t>(seed))
            .Run());
  }
  return row;
}

std::vector<Scenario> ScenariosOf(const Options& options) {
  auto real = RealRunScenario();
  if (options.scenario == real.name) {
    return {real};
  }
  std::vector<Scenario> out;
  for (auto& it : AllScenarios()) {
    if (options.scenario == "all" || options.scenario == it.name) {
      it.duration = options.duration;
      out.push_back(it);
    }
  }
  return out;
}

void RunAll(const Options& options) {
  std::ofstream csv;
  if (!options.csv.empty()) {
    csv.open(options.csv);
    WriteCsvHeading(csv);
  }
  const auto policies = Chosen(options.policies);
  for (const auto kind : {WorkloadKind::kQuote, WorkloadKind::kKiosk}) {
    if (options.workload != "all" && options.workload != ToString(kind)) {
      continue;
    }
    for (const auto& scenario : ScenariosOf(options)) {
      std::cout << "\n"
                << ToString(kind) << ", " << scenario.name << ", seeds "
                << options.first_seed << " to "
                << options.first_seed + options.seeds - 1 << "\n";
      PrintHeading(std::cout);
      for (const auto& policy : policies) {
        const auto row =
            Measure(policy, scenario, kind, options.first_seed, options.seeds);
        PrintRow(std::cout, row);
        if (csv.is_open()) {
          WriteCsvRow(csv, row);
        }
      }
    }
  }
}

}  // namespace
}  // namespace comfreyfold::bench

int main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_bench",
                           "Measures the decisions on generated programs");
  options.add_options()("policies",
                        "all, levers, trade, or ours or a lever by name",
                        cxxopts::value<std::string>()->default_value("all"))(
      "workload", "all, quote or kiosk",
      cxxopts::value<std::string>()->default_value("all"))(
      "scenario", "all, or one by name, as in 'engine lost'",
      cxxopts::value<std::string>()->default_value("all"))(
      "seed", "the first seed", cxxopts::value<int>()->default_value("1"))(
      "seeds", "runs of each, with seeds from the first",
      cxxopts::value<int>()->default_value("3"))(
      "seconds", "for which programs arrive",
      cxxopts::value<int>()->default_value("90"))(
      "csv", "file for the figures",
      cxxopts::value<std::string>()->default_value(""))("help", "this text");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    comfreyfold::bench::RunAll(
        {parsed["policies"].as<std::string>(),
         parsed["workload"].as<std::string>(),
         parsed["scenario"].as<std::string>(), parsed["seed"].as<int>(),
         parsed["seeds"].as<int>(),
         std::chrono::seconds(parsed["seconds"].as<int>()),
         parsed["csv"].as<std::string>()});
    return 0;
  } catch (const std::exception& e) {
    std::cerr << e.what() << "; see --help" << std::endl;
    return 2;
  }
}
