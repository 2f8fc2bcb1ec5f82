#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/request_quarantine.h"
#include "wire/fleet_messages.h"

namespace comfreyfold {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

const TimePoint kNow{milliseconds(100000000)};
constexpr std::uint64_t kCrashing = 11;
constexpr std::uint64_t kOther = 12;
constexpr std::uint64_t kTarget = 13;

SuspectRun Crash(std::uint64_t fingerprint, const std::string& server) {
  return {fingerprint, server, true, {}};
}

SuspectRun Answer(std::uint64_t fingerprint, const std::string& server) {
  return {fingerprint, server, false, {}};
}

bool IsQuarantined(const RequestQuarantine& quarantine,
                   std::uint64_t fingerprint,
                   TimePoint now = kNow) {
  return quarantine.TimeLeft({fingerprint, 0}, now).count() > 0;
}

RequestQuarantine AfterCrashes(int count, double delay_share = 0) {
  RequestQuarantine out(delay_share);
  for (int n = 1; n <= count; ++n) {
    out.Record(Crash(kCrashing, "s" + std::to_string(n)), kNow);
  }
  return out;
}

// Plays `time` in which clients send the crashing request to each of the
// daemons all the while. Returns how many of them reach a server after the
// third crash.
int PlayRetries(std::vector<RequestQuarantine>& daemons, minutes time) {
  constexpr milliseconds kStep{100};
  // Until all daemons know of a crash.
  constexpr milliseconds kReportTime{400};
  std::vector<std::pair<TimePoint, SuspectRun>> reports;
  int out = 0;
  for (auto now = kNow; now < kNow + time; now += kStep) {
    while (!reports.empty() && reports.front().first <= now) {
      for (auto& it : daemons) {
        it.Record(reports.front().second, now, ReportSource::kAnswer);
      }
      reports.erase(reports.begin());
    }
    for (auto& it : daemons) {
      if (!IsQuarantined(it, kCrashing, now)) {
        it.RecordSend({kCrashing, 0}, now);
        auto run = Crash(kCrashing, "retry-" + std::to_string(++out));
        run.age = kReportTime;
        reports.emplace_back(now + kReportTime, run);
      }
    }
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(request_quarantine)

BOOST_AUTO_TEST_CASE(third_crash_quarantines) {
  BOOST_TEST(!IsQuarantined(AfterCrashes(2), kCrashing));
  BOOST_TEST(IsQuarantined(AfterCrashes(3), kCrashing));
  BOOST_TEST(!IsQuarantined(AfterCrashes(3), kOther));
}

BOOST_AUTO_TEST_CASE(crash_that_two_daemons_report_counts_once) {
  auto quarantine = AfterCrashes(2);
  BOOST_TEST(!quarantine.Record({kCrashing, "s2", true, milliseconds(70)},
                                kNow + milliseconds(80)));
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing));
}

BOOST_AUTO_TEST_CASE(request_that_ran_at_explained_crashes_is_not_blamed) {
  auto quarantine = AfterCrashes(4);
  for (const auto* it : {"s1", "s2", "s4"}) {
    quarantine.Record(Crash(kOther, it), kNow);
  }
  BOOST_TEST(IsQuarantined(quarantine, kCrashing));
  BOOST_TEST(!IsQuarantined(quarantine, kOther));
  BOOST_TEST(quarantine.blamed() == 1U);
}

BOOST_AUTO_TEST_CASE(second_crashing_request_is_blamed_for_other_crashes) {
  auto quarantine = AfterCrashes(4);
  for (const auto* it : {"s4", "t1", "t2"}) {
    quarantine.Record(Crash(kOther, it), kNow);
  }
  BOOST_TEST(!IsQuarantined(quarantine, kOther));
  quarantine.Record(Crash(kOther, "t3"), kNow);
  BOOST_TEST(IsQuarantined(quarantine, kOther));
}

BOOST_AUTO_TEST_CASE(request_with_output_before_the_crashes_is_not_blamed) {
  auto quarantine = AfterCrashes(3);
  for (const auto* it : {"s1", "s2", "s3"}) {
    quarantine.Record({kOther, it, true, {}, true}, kNow);
  }
  BOOST_TEST(IsQuarantined(quarantine, kCrashing));
  BOOST_TEST(!IsQuarantined(quarantine, kOther));
}

BOOST_AUTO_TEST_CASE(request_at_one_crash_of_the_crashing_one_is_not_blamed) {
  auto quarantine = AfterCrashes(3);
  const auto later = kNow + milliseconds(900);
  quarantine.Record(Crash(kOther, "s2"), kNow);
  quarantine.Record(Crash(kOther, "t1"), later);
  quarantine.Record(Crash(kOther, "t2"), later);
  BOOST_TEST(IsQuarantined(quarantine, kCrashing));
  BOOST_TEST(!IsQuarantined(quarantine, kOther));
}

BOOST_AUTO_TEST_CASE(requests_that_do_not_differ_are_all_blamed) {
  auto quarantine = AfterCrashes(3);
  for (const auto* it : {"s1", "s2", "s3"}) {
    quarantine.Record(Crash(kOther, it), kNow);
  }
  BOOST_TEST(quarantine.blamed() == 2U);
}

// The same turn behind other earlier turns each time.
BOOST_AUTO_TEST_CASE(bodies_for_one_target_are_blamed_together) {
  RequestQuarantine quarantine;
  for (std::uint64_t n = 1; n <= 3; ++n) {
    const auto server = "s" + std::to_string(n);
    quarantine.Record(Crash(100 + n, server), kNow);
    quarantine.Record({kTarget, server, true, {}, false, true}, kNow);
  }
  BOOST_TEST((quarantine.TimeLeft({104, kTarget}, kNow) == minutes(1)));
  BOOST_TEST(!IsQuarantined(quarantine, 101));
  BOOST_TEST(quarantine.blamed() == 1U);
}

BOOST_AUTO_TEST_CASE(one_body_is_blamed_rather_than_its_target) {
  auto quarantine = AfterCrashes(3);
  for (const auto* it : {"s1", "s2", "s3"}) {
    quarantine.Record({kTarget, it, true, {}, false, true}, kNow);
  }
  BOOST_TEST(IsQuarantined(quarantine, kCrashing));
  BOOST_TEST(!IsQuarantined(quarantine, kTarget));
}

BOOST_AUTO_TEST_CASE(target_that_is_answered_is_not_blamed) {
  RequestQuarantine quarantine;
  const auto crash = [&](const std::string& server, int ms) {
    quarantine.Record({kTarget, server, true, {}, false, true},
                      kNow + milliseconds(ms));
  };
  crash("s1", 0);
  crash("s2", 1);
  quarantine.Record({kTarget, "s9", false, {}, false, true},
                    kNow + milliseconds(2));
  crash("s3", 3);
  crash("s4", 4);
  BOOST_TEST(!IsQuarantined(quarantine, kTarget));
  crash("s5", 5);
  BOOST_TEST(IsQuarantined(quarantine, kTarget));
}

BOOST_AUTO_TEST_CASE(run_without_output_counts_for_target) {
  RequestQuarantine quarantine;
  for (const auto* it : {"s1", "s2", "s3"}) {
    quarantine.Record(Crash(kOther, it), kNow + milliseconds(1));
    quarantine.Record({kTarget, it, true, {}, true, true}, kNow);
  }
  BOOST_TEST(!IsQuarantined(quarantine, kTarget));
  quarantine.Record({kTarget, "s4", true, {}, true, true}, kNow);
  BOOST_TEST(IsQuarantined(quarantine, kTarget));
  quarantine.Record({kTarget, "s4", true, {}, false, true}, kNow);
  const auto runs = quarantine.RecordedSince(kNow - milliseconds(1), kNow);
  BOOST_TEST(std::any_of(runs.begin(), runs.end(), [](const auto& it) {
    return it.server == "s4" && it.any_body && !it.had_output;
  }));
}

// The same request of many clients runs at most servers, also at crashing ones.
BOOST_AUTO_TEST_CASE(answer_clears_request_of_earlier_crashes) {
  auto quarantine = AfterCrashes(2);
  const auto later = kNow + milliseconds(10);
  BOOST_TEST(quarantine.IsSuspect(kCrashing));
  BOOST_TEST(quarantine.Record(Answer(kCrashing, "s9"), later));
  BOOST_TEST(!quarantine.IsSuspect(kCrashing));
  // A report of an earlier crash that arrives late.
  BOOST_TEST(!quarantine.Record({kCrashing, "s3", true, milliseconds(40)},
                                later + milliseconds(20)));
  quarantine.Record(Crash(kCrashing, "s4"), later + milliseconds(20));
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing, later));
  // The same server answers again.
  BOOST_TEST(
      quarantine.Record(Answer(kCrashing, "s9"), later + milliseconds(30)));
  BOOST_TEST(!quarantine.IsSuspect(kCrashing));
}

BOOST_AUTO_TEST_CASE(answer_of_another_daemon_ends_quarantine) {
  auto quarantine = AfterCrashes(3);
  quarantine.Record(Answer(kCrashing, "s9"), kNow + milliseconds(10),
                    ReportSource::kAnswer);
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing));
  BOOST_TEST(quarantine.HashOfBlamed() == 0U);
}

BOOST_AUTO_TEST_CASE(crashes_before_all_daemons_know_are_no_retries) {
  auto quarantine = AfterCrashes(3);
  for (int n = 4; n <= 9; ++n) {
    quarantine.Record(Crash(kCrashing, "s" + std::to_string(n)), kNow);
  }
  BOOST_TEST((quarantine.TimeLeft({kCrashing, 0}, kNow) == minutes(1)));
}

BOOST_AUTO_TEST_CASE(target_is_retried_without_end) {
  RequestQuarantine quarantine;
  auto now = kNow;
  for (int n = 1; n <= 9; ++n) {
    if (n > 3) {
      const auto left = quarantine.TimeLeft({0, kTarget}, now);
      BOOST_TEST((left >= minutes(1) && left <= minutes(8)));
      now += left;
    }
    quarantine.Record({kTarget, "s" + std::to_string(n), true, {}, false, true},
                      now);
  }
}

BOOST_AUTO_TEST_CASE(daemon_retries_quarantined_request_once_at_a_time) {
  auto quarantine = AfterCrashes(3);
  BOOST_TEST(!quarantine.RecordSend({kOther, 0}, kNow));
  const auto retry = kNow + minutes(1);
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing, retry));
  BOOST_TEST(quarantine.RecordSend({kCrashing, 0}, retry));
  BOOST_TEST(IsQuarantined(quarantine, kCrashing, retry));
  // The crash of another request does not end the retry.
  for (const auto* it : {"t1", "t2", "t3"}) {
    quarantine.Record(Crash(kOther, it), retry);
  }
  BOOST_TEST(IsQuarantined(quarantine, kCrashing, retry));
  // The retry had no outcome, as if its client had gone.
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing, retry + minutes(1)));
  quarantine.Record(Answer(kCrashing, "s9"), retry + milliseconds(1));
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing, retry + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(each_further_crash_lengthens_the_quarantine) {
  auto quarantine = AfterCrashes(3);
  BOOST_TEST((quarantine.TimeLeft({kCrashing, 0}, kNow) == minutes(1)));
  auto trial = kNow + minutes(1);
  BOOST_TEST(!IsQuarantined(quarantine, kCrashing, trial));
  quarantine.Record(Crash(kCrashing, "s4"), trial);
  BOOST_TEST((quarantine.TimeLeft({kCrashing, 0}, trial) == minutes(8)));
  trial += minutes(8);
  quarantine.Record(Crash(kCrashing, "s5"), trial);
  BOOST_TEST((quarantine.TimeLeft({kCrashing, 0}, trial) == minutes(64)));
  for (int n = 6; n < 20; ++n) {
    trial += minutes(64);
    quarantine.Record(Crash(kCrashing, "s" + std::to_string(n)), trial);
    BOOST_TEST((quarantine.TimeLeft({kCrashing, 0}, trial) == hours(24)));
  }
}

BOOST_AUTO_TEST_CASE(daemons_do_not_retry_quarantined_request_together) {
  constexpr int kDaemons = 80;
  std::vector<RequestQuarantine> daemons;
  daemons.reserve(kDaemons);
  for (int n = 0; n < kDaemons; ++n) {
    daemons.push_back(AfterCrashes(3, static_cast<double>(n) / kDaemons));
  }
  const auto retries = PlayRetries(daemons, minutes(20));
  BOOST_TEST(retries >= 1);
  BOOST_TEST(retries <= 3);
}

BOOST_AUTO_TEST_CASE(crashes_of_many_requests_stay_within_bounds) {
  RequestQuarantine quarantine = AfterCrashes(3);
  for (std::uint64_t n = 100; n < 10000; ++n) {
    quarantine.Record(Crash(n, "s" + std::to_string(n / 16)), kNow);
  }
  BOOST_TEST(quarantine.size() <= 4096U);
  BOOST_TEST(IsQuarantined(quarantine, kCrashing));
}

BOOST_AUTO_TEST_CASE(old_crashes_expire) {
  auto quarantine = AfterCrashes(3);
  quarantine.Record(Crash(kOther, "t"), kNow + hours(24));
  BOOST_TEST(quarantine.blamed() == 1U);
  quarantine.Record(Crash(kOther, "u"), kNow + hours(24) + minutes(1));
  BOOST_TEST(quarantine.size() == 2U);
  BOOST_TEST(quarantine.blamed() == 0U);
}

BOOST_AUTO_TEST_CASE(daemon_that_missed_crashes_gets_those_of_quarantined) {
  auto quarantine = AfterCrashes(3);
  quarantine.Record(Crash(kOther, "t"), kNow);
  const auto later = kNow + minutes(1) - milliseconds(1);
  BOOST_TEST(quarantine.RecordedSince(kNow, later).empty());
  FleetNews news;
  news.suspect_runs = quarantine.BlamedRuns(later);
  news.blamed_hash = quarantine.HashOfBlamed();
  const auto received = DecodeFleetNews(Encode(news));
  RequestQuarantine other;
  for (const auto& it : received.suspect_runs) {
    other.Record(it, later, ReportSource::kAnswer);
  }
  BOOST_TEST(other.HashOfBlamed() == received.blamed_hash);
  BOOST_TEST(other.TimeLeft({kCrashing, 0}, later).count() == 1);
  BOOST_TEST(!other.IsSuspect(kOther));
  BOOST_TEST(other.LocalSince(kNow, later).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
