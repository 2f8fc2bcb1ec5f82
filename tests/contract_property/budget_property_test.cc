#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "contract_property/budget_simulation.h"

namespace comfreyfold {
namespace {

using WriteOutcome = BudgetSimulation::WriteOutcome;

struct Step {
  int kind = 0;
  std::size_t daemon = 0;
  std::int64_t amount = 0;
  int outcome = 0;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << step.kind << ", " << step.daemon << ", " << step.amount
             << ", " << step.outcome << "}";
}

rc::Gen<std::vector<Step>> GenSteps(std::size_t daemons,
                                    std::int64_t max_tokens) {
  return rc::gen::container<std::vector<Step>>(rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 48),
                     rc::gen::inRange<std::size_t>(0, daemons),
                     rc::gen::inRange<std::int64_t>(1, max_tokens),
                     rc::gen::inRange(0, 10)),
      [](const std::tuple<int, std::size_t, std::int64_t, int>& it) {
        return Step{std::get<0>(it), std::get<1>(it), std::get<2>(it),
                    std::get<3>(it)};
      }));
}

// Maps a random number below 10 to an outcome, so that most writes succeed.
WriteOutcome ToWriteOutcome(int draw) {
  switch (draw) {
    case 0:
      return WriteOutcome::kAnswerLost;
    case 1:
      return WriteOutcome::kNotApplied;
    case 2:
      return WriteOutcome::kDelayed;
    default:
      return WriteOutcome::kConfirmed;
  }
}

void RunStep(BudgetSimulation& simulation, const Step& step) {
  const auto outcome = ToWriteOutcome(step.outcome);
  if (step.kind < 20) {
    simulation.Begin(step.daemon, step.amount, outcome);
  } else if (step.kind < 36) {
    simulation.End(static_cast<std::size_t>(step.amount), step.amount / 4);
  } else if (step.kind < 38) {
    simulation.GiveBack(step.daemon, outcome);
  } else if (step.kind < 40) {
    simulation.Deliver();
  } else if (step.kind < 42) {
    simulation.Kill(step.daemon);
  }
}

// Like RunStep, with changes of the budget and of the period.
void RunStepWithChanges(BudgetSimulation& simulation, const Step& step) {
  if (step.kind < 42) {
    RunStep(simulation, step);
  } else if (step.kind < 43) {
    simulation.SetBudget(step.amount * 40);
  } else if (step.kind < 44) {
    simulation.NextPeriod();
  } else {
    simulation.UpdateTerms(step.daemon);
  }
}

// Like RunStep, with takeovers of lanes and grants that are closed for holders
// that are considered dead.
void RunStepWithReclaiming(BudgetSimulation& simulation, const Step& step) {
  const auto amount = static_cast<std::size_t>(step.amount);
  if (step.kind < 40) {
    RunStep(simulation, step);
  } else if (step.kind < 41) {
    simulation.Kill(step.daemon);
  } else if (step.kind < 44) {
    simulation.TakeLane(amount, step.daemon);
  } else if (step.kind < 46) {
    simulation.MarkClosing(amount);
    // All lanes change their owner, as after a real death.
    for (std::size_t lane = 0; amount % 2 == 0 && lane < 3; ++lane) {
      simulation.TakeLane(lane, step.daemon);
    }
    simulation.ProveClosing();
  } else {
    simulation.ReleaseClosing();
  }
}

BOOST_AUTO_TEST_SUITE(budget_property)

BOOST_AUTO_TEST_CASE(the_engines_never_exceed_the_budget) {
  constexpr std::size_t kDaemons = 4;
  const bool held = rc::check(
      "not exceeded with crashes and with lost, delayed and failed writes", [] {
        const auto budget = *rc::gen::inRange<std::int64_t>(0, 2500);
        const auto steps = *GenSteps(kDaemons, 100);
        BudgetSimulation simulation(kDaemons, budget);
        for (const auto& it : steps) {
          RunStep(simulation, it);
          RC_ASSERT(simulation.used() <= budget);
          RC_ASSERT(simulation.record().Committed() <= budget);
        }
        // The engines may still use all tokens of the calls in flight.
        while (simulation.in_flight() > 0) {
          simulation.End(0, 16);
        }
        RC_ASSERT(simulation.used() <= budget);
      });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(a_lowered_budget_and_a_new_period_are_enforced) {
  constexpr std::size_t kDaemons = 3;
  const bool held = rc::check(
      "not exceeded with lowered and raised budgets and new periods", [] {
        const auto steps = *GenSteps(kDaemons, 400);
        BudgetSimulation simulation(kDaemons, 10000);
        for (const auto& it : steps) {
          RunStepWithChanges(simulation, it);
          RC_ASSERT(simulation.used() <= simulation.bound());
        }
      });
  BOOST_TEST(held);
}

// Lets every daemon take over a lane and spend all tokens that it can obtain.
void SpendAll(BudgetSimulation& simulation, std::size_t daemons) {
  constexpr int kMaxCalls = 500;
  while (simulation.in_flight() > 0) {
    simulation.End(0, 16);
  }
  for (std::size_t i = 0; i < daemons; ++i) {
    simulation.TakeLane(i, i);
    for (int n = 0;
         n < kMaxCalls && simulation.Begin(i, 2, WriteOutcome::kConfirmed);
         ++n) {
      simulation.End(0, 16);
    }
  }
}

BOOST_AUTO_TEST_CASE(tokens_of_closed_grants_are_never_used_twice) {
  constexpr std::size_t kDaemons = 3;
  constexpr std::int64_t kBudget = 600;
  int cases = 0;
  int releases = 0;
  const bool held = rc::check(
      "not exceeded with takeovers and closed grants of daemons that are "
      "considered dead",
      [&] {
        const auto steps = *GenSteps(kDaemons, 60);
        BudgetSimulation simulation(kDaemons, kBudget);
        for (const auto& it : steps) {
          RunStepWithReclaiming(simulation, it);
          RC_ASSERT(simulation.used() <= kBudget);
        }
        SpendAll(simulation, kDaemons);
        RC_ASSERT(simulation.used() <= kBudget);
        ++cases;
        releases += simulation.releases();
      });
  BOOST_TEST(held);
  // A sufficient part of the cases has to reach a release.
  BOOST_TEST(releases * 2 > cases);
  BOOST_TEST_MESSAGE("grants closed for other daemons: " << releases << " in "
                                                         << cases << " cases");
}

BOOST_AUTO_TEST_CASE(
    a_death_leaves_less_than_a_twentieth_of_the_budget_unusable) {
  constexpr std::size_t kDaemons = 5;
  const bool held =
      rc::check("one daemon dies and another spends the rest", [] {
        // Each call uses at most 1/100 of the budget.
        const std::int64_t budget = 40000;
        const auto steps = *GenSteps(kDaemons, 400);
        const auto victim = *rc::gen::inRange<std::size_t>(0, kDaemons);
        BudgetSimulation simulation(kDaemons, budget);
        for (const auto& it : steps) {
          if (it.kind < 36) {
            auto step = it;
            step.outcome = 9;
            RunStep(simulation, step);
          }
        }
        simulation.Kill(victim);
        simulation.TakeLane(victim, 0);
        // The engines drop the calls of the dead daemon, so all of its
        // reservations are lost.
        while (simulation.in_flight() > 0) {
          simulation.End(0, 0);
        }
        for (std::size_t i = 0; i < kDaemons; ++i) {
          simulation.GiveBack(i, WriteOutcome::kConfirmed);
        }
        constexpr std::int64_t kCallTokens = 10;
        while (simulation.Begin(0, kCallTokens, WriteOutcome::kConfirmed)) {
          simulation.End(0, 16);
        }
        RC_ASSERT(simulation.used() <= budget);
        RC_ASSERT(budget - simulation.used() < budget / 20);
      });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(the_number_of_record_writes_is_limited) {
  constexpr int kCalls = 1000;
  BudgetSimulation simulation(3, 1000000);
  for (int i = 0; i < kCalls; ++i) {
    BOOST_REQUIRE(simulation.Begin(static_cast<std::size_t>(i % 3), 400,
                                   WriteOutcome::kConfirmed));
    simulation.End(0, 4);
  }
  BOOST_TEST_MESSAGE("record writes for 1000 calls: " << simulation.writes());
  BOOST_TEST(simulation.writes() <= kCalls / 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
