// Retries, health, holds and admission.
#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "core/admission_control.h"
#include "core/backend_health.h"
#include "core/hold_policy.h"
#include "core/retry_policy.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RetryRequest Failed(Verdict verdict, bool idempotent, int made = 1) {
  return {verdict, idempotent, made, 3, seconds(10)};
}

BOOST_AUTO_TEST_CASE(OnlyWhatDoesNoHarmIsRetried) {
  const DecisionSettings settings;
  RetryPolicy policy(settings);
  BOOST_TEST(policy.Next(Failed(Verdict::kNotRun, false)).has_value());
  BOOST_TEST(policy.Next(Failed(Verdict::kMayHaveRun, true)).has_value());
  BOOST_TEST(!policy.Next(Failed(Verdict::kMayHaveRun, false)).has_value());
  BOOST_TEST(!policy.Next(Failed(Verdict::kRan, true)).has_value());
  BOOST_TEST(!policy.Next(Failed(Verdict::kMayHaveRun, true, 3)).has_value());
  auto late = Failed(Verdict::kNotRun, true);
  late.time_left = milliseconds(5);
  BOOST_TEST(!policy.Next(late).has_value());
}

BOOST_AUTO_TEST_CASE(RetryBudgetIsNeverPassed) {
  BOOST_TEST(rc::check("retries stay within the ratio and the savings", [] {
    DecisionSettings settings;
    settings.retry_ratio = *rc::gen::element(0.05, 0.1, 0.2, 0.5);
    RetryPolicy policy(settings);
    const double saved = policy.budget();
    int calls = 0;
    int retries = 0;
    const auto steps =
        *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
    for (const bool fails : steps) {
      ++calls;
      policy.ObserveCall();
      for (int made = 1; fails; ++made) {
        if (!policy.Next(Failed(Verdict::kNotRun, true, made))) {
          break;
        }
        ++retries;
      }
      RC_ASSERT(retries <= saved + settings.retry_ratio * calls);
    }
  }));
}

BOOST_AUTO_TEST_CASE(HealthNeverEjectsAll) {
  BOOST_TEST(rc::check("at least the settings' part stays usable", [] {
    DecisionSettings settings;
    BackendHealth health(settings);
    const auto n = *rc::gen::inRange(1, 10);
    TimePoint now(seconds(1));
    std::vector<BackendHealth::Candidate> candidates;
    candidates.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i) {
      candidates.push_back({"s" + std::to_string(i), *rc::gen::inRange(0, 3)});
    }
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4 * n));
    for (const auto it : events) {
      now += milliseconds(it * 50);
      const auto id = "s" + std::to_string(it % n);
      if (it < n) {
        health.Succeeded(id);
      } else {
        health.Failed(id, now);
      }
      const auto usable = health.Usable(candidates, now);
      RC_ASSERT(usable.size() * 2 >= candidates.size());
      RC_ASSERT(!usable.empty());
    }
  }));
}

BOOST_AUTO_TEST_CASE(BadServerComesBackWithFewCallsFirst) {
  const DecisionSettings settings;
  BackendHealth health(settings);
  TimePoint now(seconds(1));
  for (int i = 0; i < settings.ejection_failures; ++i) {
    health.Failed("bad", now);
  }
  const auto usable = [&](int in_flight) {
    return health.Usable({{"bad", in_flight}, {"x", 0}, {"y", 0}}, now).size();
  };
  BOOST_TEST(usable(0) == 2U);
  now += settings.ejection_time;
  BOOST_TEST(usable(0) == 3U);
  BOOST_TEST(usable(1) == 2U);
  health.Succeeded("bad");
  BOOST_TEST(usable(1) == 3U);
  // A relapse on trial ejects at once and for twice as long.
  health.Failed("bad", now);
  now += settings.ejection_time;
  BOOST_TEST(usable(0) == 2U);
  now += settings.ejection_time;
  BOOST_TEST(usable(0) == 3U);
}

BOOST_AUTO_TEST_CASE(HoldFollowsThePauseLearnt) {
  const DecisionSettings settings;
  HoldPolicy policy(settings);
  HoldRequest question;
  question.customer = "bandwerk";
  question.tool = "stock_lookup";
  question.tokens = 4000;
  // Nothing was ever lost there: nothing to guard against.
  BOOST_TEST((policy.Decide(question) == HoldAction::kKeep));
  question.residence = seconds(20);
  for (int i = 0; i < 10; ++i) {
    policy.ObservePause("bandwerk", "stock_lookup", milliseconds(200), true);
    policy.ObservePause("bandwerk", "price_quote", seconds(60), true);
    policy.ObservePause("bandwerk", "goodbye", seconds(60), false);
  }
  BOOST_TEST((policy.Decide(question) == HoldAction::kKeep));
  question.tool = "price_quote";
  BOOST_TEST((policy.Decide(question) == HoldAction::kExport));
  question.can_export = false;
  BOOST_TEST((policy.Decide(question) == HoldAction::kKeep));
  question.tool = "goodbye";
  BOOST_TEST((policy.Decide(question) == HoldAction::kDrop));
}

BOOST_AUTO_TEST_CASE(HoldsOverTheMemoryShareAreCopiedOut) {
  const DecisionSettings settings;
  HoldPolicy policy(settings);
  HoldRequest question;
  question.tokens = 4000;
  question.held_tokens = 8000;
  question.memory_share = 10000;
  BOOST_TEST((policy.Decide(question) == HoldAction::kExport));
  question.memory_share = 20000;
  BOOST_TEST((policy.Decide(question) == HoldAction::kKeep));
  // Peers and turns that run fill the engine.
  question.memory_short = true;
  BOOST_TEST((policy.Decide(question) == HoldAction::kExport));
}

BOOST_AUTO_TEST_CASE(CustomerWithinItsShareIsNotRefusedForOthers) {
  const DecisionSettings settings;
  const AdmissionControl admission(settings);
  AdmissionRequest question;
  question.slots = 10;
  question.first_call = true;
  question.active_weight = 5;
  question.backlog = seconds(2);
  BOOST_TEST(admission.Decide(question).accepted);
  // Two of the ten slots are its share.
  question.backlog = settings.queue_limit * 3;
  const auto refused = admission.Decide(question);
  BOOST_TEST(!refused.accepted);
  BOOST_TEST((refused.retry_after > milliseconds::zero()));
  // The same backlog is in time for a customer of more weight.
  question.weight = 4;
  question.active_weight = 8;
  BOOST_TEST(admission.Decide(question).accepted);
}

BOOST_AUTO_TEST_CASE(ProgramUnderWayIsRefusedLater) {
  const DecisionSettings settings;
  const AdmissionControl admission(settings);
  AdmissionRequest question;
  question.backlog = settings.queue_limit * 2;
  question.first_call = true;
  BOOST_TEST(!admission.Decide(question).accepted);
  question.first_call = false;
  BOOST_TEST(admission.Decide(question).accepted);
  // But not when its own deadline cannot be met.
  question.time_left = settings.queue_limit;
  BOOST_TEST(!admission.Decide(question).accepted);
}

}  // namespace
}  // namespace comfreyfold
