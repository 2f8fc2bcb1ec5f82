// Whatever daemons and issuers lose of each other, a server gets no more than
// its limit, and the limit is used.

#include <boost/test/unit_test.hpp>

#include <rapidcheck/boost_test.h>

#include "limit_property/limited_fleet.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

// The bound of the platform: in four seconds one and a half times what the
// limit allows, and five requests.
bool IsWithinLimit(const LimitedFleet& fleet, double per_second) {
  constexpr double kWindowSeconds = 4;
  constexpr double kTolerance = 1.5;
  constexpr double kExtra = 5;
  return fleet.MostInWindow() <=
         kTolerance * kWindowSeconds * per_second + kExtra;
}

double DrawLimit() {
  return *rc::gen::element(0.0, 0.02, 0.3, 1.0, 1.7, 3.3, 8.5, 40.0);
}

std::vector<double> DrawDemand(int daemons) {
  std::vector<double> out;
  out.reserve(static_cast<std::size_t>(daemons));
  for (int n = 0; n < daemons; ++n) {
    out.push_back(*rc::gen::element(0.0, 0.02, 0.1, 0.5));
  }
  return out;
}

void InjectFault(LimitedFleet& fleet, int daemons) {
  const int daemon = *rc::gen::inRange(0, daemons);
  const int issuer = *rc::gen::inRange(0, LimitedFleet::kIssuers);
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      fleet.RestartDaemon(daemon);
      break;
    case 1:
      fleet.RestartIssuer(issuer);
      break;
    case 2:
      fleet.Cut(daemon, issuer, true);
      break;
    case 3:
      for (int n = 0; n < daemons; ++n) {
        fleet.Cut(n, issuer, *rc::gen::arbitrary<bool>());
      }
      break;
    default:
      for (int n = 0; n < LimitedFleet::kIssuers; ++n) {
        fleet.Cut(daemon, n, false);
      }
      break;
  }
}

BOOST_AUTO_TEST_SUITE(limit_property)

RC_BOOST_PROP(server_gets_no_more_than_its_limit_under_faults, ()) {
  const int daemons = *rc::gen::inRange(1, 13);
  const auto limit = DrawLimit();
  LimitedFleet fleet(daemons, limit, *rc::gen::arbitrary<std::uint64_t>());
  const int faults = *rc::gen::inRange(0, 20);
  for (int n = 0; n < faults; ++n) {
    fleet.Run(milliseconds(*rc::gen::inRange(50, 1500)), DrawDemand(daemons));
    InjectFault(fleet, daemons);
  }
  fleet.Run(milliseconds(3000), DrawDemand(daemons));
  RC_ASSERT(IsWithinLimit(fleet, limit));
}

RC_BOOST_PROP(limit_holds_while_daemons_know_different_issuers, ()) {
  const int daemons = *rc::gen::inRange(1, 13);
  const auto limit = DrawLimit();
  LimitedFleet fleet(daemons, limit, *rc::gen::arbitrary<std::uint64_t>());
  const std::vector<double> demand(daemons, 0.5);
  fleet.Run(milliseconds(3000), demand);
  // The first issuer is replaced, which not all daemons know.
  for (int n = 0; n < daemons; ++n) {
    fleet.SetIssuers(n, *rc::gen::inRange(0, 2), LimitedFleet::kIssuers);
  }
  fleet.Run(milliseconds(6000), demand);
  RC_ASSERT(IsWithinLimit(fleet, limit));
}

RC_BOOST_PROP(daemon_with_all_the_demand_gets_nearly_the_whole_limit, ()) {
  const int daemons = *rc::gen::inRange(1, 13);
  const auto limit = *rc::gen::element(1.0, 1.7, 3.3, 8.5);
  LimitedFleet fleet(daemons, limit, *rc::gen::arbitrary<std::uint64_t>());
  std::vector<double> demand(daemons, 0);
  demand[*rc::gen::inRange(0, daemons)] = 1;
  fleet.Run(milliseconds(20000), demand);
  RC_ASSERT(fleet.sent() >= 0.8 * 20 * limit);
}

RC_BOOST_PROP(daemon_without_issuers_keeps_to_a_part, ()) {
  const int daemons = *rc::gen::inRange(2, 13);
  const auto limit = *rc::gen::element(1.7, 3.3, 8.5);
  LimitedFleet fleet(daemons, limit, *rc::gen::arbitrary<std::uint64_t>());
  const std::vector<double> demand(daemons, 1);
  fleet.Run(milliseconds(3000), demand);
  for (int n = 0; n < LimitedFleet::kIssuers; ++n) {
    fleet.Cut(0, n, true);
  }
  const int before = fleet.sent_by(0);
  fleet.Run(milliseconds(60000), demand);
  RC_ASSERT(fleet.sent_by(0) > before);
  RC_ASSERT(IsWithinLimit(fleet, limit));
}

RC_BOOST_PROP(daemons_without_issuers_do_not_send_all_at_once, ()) {
  const int daemons = *rc::gen::inRange(2, 20);
  const auto limit = *rc::gen::element(0.3, 1.0, 1.7);
  LimitedFleet fleet(daemons, limit, *rc::gen::arbitrary<std::uint64_t>());
  const std::vector<double> demand(daemons, 0.1);
  fleet.Run(milliseconds(2000), demand);
  for (int n = 0; n < daemons; ++n) {
    for (int issuer = 0; issuer < LimitedFleet::kIssuers; ++issuer) {
      fleet.Cut(n, issuer, true);
    }
  }
  // Each may send one request in 2 x daemons x issuers / limit.
  const int before = fleet.sent();
  const double seconds = 1.5 * 2 * daemons * LimitedFleet::kIssuers / limit;
  fleet.Run(milliseconds(static_cast<int>(seconds * 1000)), demand);
  RC_ASSERT(fleet.sent() - before >= daemons);
  RC_ASSERT(IsWithinLimit(fleet, limit));
}

RC_BOOST_PROP(server_whose_limit_is_zero_is_still_asked, ()) {
  const int daemons = *rc::gen::inRange(1, 13);
  LimitedFleet fleet(daemons, 0, *rc::gen::arbitrary<std::uint64_t>());
  fleet.Run(milliseconds(40000), std::vector<double>(daemons, 0.1));
  RC_ASSERT(fleet.sent() >= 5);
  RC_ASSERT(IsWithinLimit(fleet, 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
