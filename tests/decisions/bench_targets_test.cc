// The targets of the decisions, on a short run with fixed seeds. The bounds
// are the targets themselves.
#include <algorithm>
#include <iostream>
#include <limits>

#include <boost/test/unit_test.hpp>

#include "bench_run.h"

namespace comfreyfold::bench {
namespace {

constexpr std::uint64_t kSeed = 7;
// Until as many programs are under way as end.
constexpr std::chrono::seconds kDuration{150};
// Where no steady load is needed.
constexpr std::chrono::seconds kShort{60};

Scenario Named(const std::string& name) {
  for (auto it : AllScenarios()) {
    if (it.name == name) {
      return it;
    }
  }
  throw std::runtime_error("no scenario " + name);
}

Result Run(const Policy& policy,
           const std::string& name,
           WorkloadKind kind,
           std::chrono::seconds duration = kDuration) {
  auto scenario = Named(name);
  scenario.duration = duration;
  auto out = BenchRun(policy, scenario, kind, kSeed).Run();
  std::cout << ToString(kind) << " " << name << " seed " << kSeed << " "
            << policy.name << ": p95 " << Percentile(out.latency_s, 0.95)
            << " s, wasted " << out.wasted_share() << "\n";
  return out;
}

struct Best {
  double p95 = std::numeric_limits<double>::infinity();
  double wasted = std::numeric_limits<double>::infinity();
};

Best BestNaive(const std::string& name, WorkloadKind kind) {
  Best out;
  for (const auto& it : AllPolicies()) {
    if (it.naive) {
      const auto result = Run(it, name, kind);
      out.p95 = std::min(out.p95, Percentile(result.latency_s, 0.95));
      out.wasted = std::min(out.wasted, result.wasted_share());
    }
  }
  return out;
}

Policy Ours() {
  return AllPolicies().front();
}

// The 95th percentile of the customers within their share.
double WithinShare(const Result& result) {
  std::vector<double> all;
  for (const auto& [name, values] : result.customer_latency_s) {
    if (name != kFloodCustomer) {
      all.insert(all.end(), values.begin(), values.end());
    }
  }
  return Percentile(all, 0.95);
}

BOOST_AUTO_TEST_SUITE(BenchTargets)

BOOST_AUTO_TEST_CASE(KioskLatencyIsDownByAThirdAtThePeak) {
  const auto naive = BestNaive("peak", WorkloadKind::kKiosk);
  const auto ours = Run(Ours(), "peak", WorkloadKind::kKiosk);
  BOOST_TEST(Percentile(ours.latency_s, 0.95) <= naive.p95 * 2 / 3);
  BOOST_TEST(ours.wasted_share() <= naive.wasted);
}

BOOST_AUTO_TEST_CASE(QuoteWasteIsHalved) {
  const auto naive = BestNaive("peak", WorkloadKind::kQuote);
  const auto ours = Run(Ours(), "peak", WorkloadKind::kQuote);
  BOOST_TEST(ours.wasted_share() <= naive.wasted / 2);
  BOOST_TEST(Percentile(ours.latency_s, 0.95) <= naive.p95);
}

BOOST_AUTO_TEST_CASE(NeitherMeasureIsWorseAtRest) {
  for (const auto kind : {WorkloadKind::kQuote, WorkloadKind::kKiosk}) {
    const auto naive = BestNaive("rest", kind);
    const auto ours = Run(Ours(), "rest", kind);
    BOOST_TEST(Percentile(ours.latency_s, 0.95) <= naive.p95);
    BOOST_TEST(ours.wasted_share() <= naive.wasted);
  }
}

BOOST_AUTO_TEST_CASE(TwiceTheCapacityHarmsOnlyWhoAsksForIt) {
  for (const auto kind : {WorkloadKind::kQuote, WorkloadKind::kKiosk}) {
    const auto load = Run(Ours(), "load", kind);
    const auto twice = Run(Ours(), "twice", kind);
    BOOST_TEST(WithinShare(twice) <= WithinShare(load) * 5 / 4);
    const auto rest = Run(Ours(), "rest", kind, kShort);
    BOOST_TEST(Percentile(twice.urgent_delay_ms, 0.99) <=
               2 * Percentile(rest.urgent_delay_ms, 0.99));
    for (const auto& [name, n] : twice.customer_refused) {
      BOOST_TEST((name == kFloodCustomer || n == 0));
    }
  }
}

BOOST_AUTO_TEST_CASE(NoProgramFailsWithAnEngineOrADaemonLost) {
  for (const auto* name : {"engine lost", "daemon lost"}) {
    const auto ours = Run(Ours(), name, WorkloadKind::kKiosk, kShort);
    BOOST_TEST(ours.failed == 0);
  }
}

BOOST_AUTO_TEST_CASE(SameSeedSameRun) {
  const auto a = Run(Ours(), "load", WorkloadKind::kKiosk, kShort);
  const auto b = Run(Ours(), "load", WorkloadKind::kKiosk, kShort);
  BOOST_TEST(a.latency_s == b.latency_s);
  BOOST_TEST(a.prefilled_again_tokens == b.prefilled_again_tokens);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::bench
