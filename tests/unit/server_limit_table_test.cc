#include <boost/test/unit_test.hpp>

#include "core/server_limit_table.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  const TimePoint now{milliseconds(100000)};
  ServerLimitTable limits;
};

BOOST_FIXTURE_TEST_SUITE(server_limit_table, Fixture)

BOOST_AUTO_TEST_CASE(newest_word_counts_whichever_daemon_received_it) {
  BOOST_TEST(limits.Record({"s", {}, 4.0, milliseconds(100)}, now));
  BOOST_TEST(!limits.Record({"s", {}, 9.0, milliseconds(200)}, now));
  BOOST_TEST(limits.Find("s").value() == 4.0);
  BOOST_TEST(limits.Record({"s", {}, 2.0, milliseconds(50)}, now));
  BOOST_TEST(limits.Find("s").value() == 2.0);
}

BOOST_AUTO_TEST_CASE(answer_from_before_the_limit_does_not_end_it) {
  limits.Record({"s", {}, 4.0, {}}, now);
  BOOST_TEST(!limits.RecordUnlimited("s", {}, now - milliseconds(50),
                                     now + milliseconds(20)));
  BOOST_TEST(limits.Find("s").has_value());
  BOOST_TEST(limits.RecordUnlimited("s", {}, now + milliseconds(10),
                                    now + milliseconds(20)));
  BOOST_TEST(!limits.Find("s").has_value());
}

BOOST_AUTO_TEST_CASE(limit_ends_with_the_start_of_its_server) {
  limits.Record({"s", milliseconds(1), 4.0, {}}, now);
  BOOST_TEST(limits.Find("s", milliseconds(1)).has_value());
  BOOST_TEST(!limits.Find("s", milliseconds(2)).has_value());
  // What a daemon tells late of the earlier start changes nothing.
  limits.Record({"s", milliseconds(2), 3.0, milliseconds(500)}, now);
  limits.Record({"s", milliseconds(1), 4.0, {}}, now);
  BOOST_TEST(limits.Find("s", milliseconds(2)).value() == 3.0);
}

BOOST_AUTO_TEST_CASE(daemons_with_the_same_limits_have_the_same_hash) {
  ServerLimitTable other;
  const auto none = limits.Hash();
  limits.Record({"s", {}, 4.0, {}}, now);
  limits.Record({"t", {}, 5.0, {}}, now);
  other.Record({"t", {}, 5.0, milliseconds(10)}, now);
  BOOST_TEST(other.Hash() != limits.Hash());
  other.Record({"s", {}, 4.0, milliseconds(10)}, now);
  BOOST_TEST(other.Hash() == limits.Hash());
  for (const auto& id : {"s", "t"}) {
    limits.RecordUnlimited(id, {}, now, now + milliseconds(1));
  }
  BOOST_TEST(limits.Hash() == none);
  BOOST_TEST(limits.limited() == 0);
}

BOOST_AUTO_TEST_CASE(end_of_a_limit_is_told_to_other_daemons) {
  limits.Record({"s", {}, 4.0, {}}, now);
  ServerLimitTable other;
  for (const auto& it : limits.All(now)) {
    other.Record(it, now);
  }
  const auto later = now + milliseconds(100);
  limits.RecordUnlimited("s", {}, later, later);
  for (const auto& it : limits.All(later)) {
    other.Record(it, later);
  }
  BOOST_TEST(!other.Find("s").has_value());
}

// A daemon whose table no word reaches any more would keep the limit and tell
// it to others, who have forgotten it.
BOOST_AUTO_TEST_CASE(limit_that_nobody_names_any_more_is_forgotten) {
  limits.Record({"s", {}, 4.0, {}}, now);
  const auto later = now + std::chrono::minutes(11);
  BOOST_TEST(limits.All(later).empty());
  ServerLimitTable other;
  const milliseconds age = std::chrono::minutes(11);
  BOOST_TEST(!other.Record({"s", {}, 4.0, age}, later));
  BOOST_TEST(other.changes() == 0);
  limits.DropOld(later);
  BOOST_TEST(!limits.Find("s").has_value());
  BOOST_TEST(limits.limited() == 0);
  BOOST_TEST(limits.Hash() == other.Hash());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
