#include "core/absence_watch.h"

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr AbsenceWatch::Limits kLimits{milliseconds(15000), milliseconds(2000),
                                       milliseconds(60000)};
constexpr milliseconds kInterval{1000};

// A watch and its clock.
struct Watched {
  AbsenceWatch watch{kLimits};
  TimePoint now{std::chrono::hours(1)};

  // Leaves probes of `disk` unanswered for `time`.
  void Miss(const std::string& disk, milliseconds time) {
    watch.Unanswered(disk, now);
    for (milliseconds passed{0}; passed < time; passed += kInterval) {
      now += kInterval;
      watch.Unanswered(disk, now);
    }
  }
};

BOOST_AUTO_TEST_SUITE(absence_watch)

BOOST_AUTO_TEST_CASE(member_that_is_absent_for_long_is_gone) {
  Watched it;
  it.Miss("a", milliseconds(14000));
  BOOST_TEST(it.watch.absent() == 1U);
  BOOST_TEST(!it.watch.HasGone());
  it.Miss("a", milliseconds(1000));
  BOOST_TEST(it.watch.IsGone("a"));
  BOOST_TEST(!it.watch.IsLost("a"));
  it.Miss("a", milliseconds(45000));
  BOOST_TEST(it.watch.IsLost("a"));
}

BOOST_AUTO_TEST_CASE(answer_ends_an_absence) {
  Watched it;
  it.Miss("a", milliseconds(14000));
  BOOST_TEST(it.watch.Answered("a", it.now));
  BOOST_TEST(it.watch.absent() == 0U);
  it.Miss("a", milliseconds(14000));
  BOOST_TEST(!it.watch.HasGone());
}

// The watching daemon stood still and took all others for gone.
BOOST_AUTO_TEST_CASE(time_without_probes_does_not_count_as_absence) {
  Watched it;
  it.watch.Unanswered("a", it.now);
  it.now += std::chrono::minutes(5);
  it.watch.Unanswered("a", it.now);
  BOOST_TEST(!it.watch.HasGone());
  BOOST_TEST((it.watch.AbsentFor("a") < milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(announced_stop_is_gone_earlier_but_not_in_one_probe) {
  Watched it;
  it.watch.Stopping("a", it.now);
  it.now += milliseconds(2500);
  it.watch.Unanswered("a", it.now);
  BOOST_TEST(!it.watch.HasGone());
  it.now += milliseconds(400);
  it.watch.Unanswered("a", it.now);
  BOOST_TEST(it.watch.IsGone("a"));
}

// It answers until its process ends.
BOOST_AUTO_TEST_CASE(answer_right_after_an_announced_stop_is_no_return) {
  Watched it;
  it.watch.Stopping("a", it.now);
  BOOST_TEST(!it.watch.Answered("a", it.now + milliseconds(50)));
  BOOST_TEST(it.watch.absent() == 1U);
  BOOST_TEST(it.watch.Answered("a", it.now + kInterval));
  BOOST_TEST(it.watch.absent() == 0U);
}

BOOST_AUTO_TEST_CASE(records_of_a_replaced_disk_are_lost_at_once) {
  Watched it;
  BOOST_TEST(it.watch.Replaced("a", it.now));
  BOOST_TEST(it.watch.IsLost("a"));
  BOOST_TEST(!it.watch.IsGone("a"));
}

BOOST_AUTO_TEST_CASE(disks_that_are_no_members_any_more_are_forgotten) {
  Watched it;
  it.Miss("a", milliseconds(20000));
  it.Miss("b", milliseconds(1000));
  it.watch.Retain({"b"});
  BOOST_TEST(!it.watch.IsAbsent("a"));
  BOOST_TEST(it.watch.IsAbsent("b"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
