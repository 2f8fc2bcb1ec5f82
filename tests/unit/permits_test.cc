#include <boost/test/unit_test.hpp>

#include "core/permit_issuer.h"
#include "core/permit_wallet.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  Fixture() {
    limits.Record({"s", {}, 3.0, {}}, now);
    wallet.SetIssuers({"a", "b"});
  }
  PermitReply Grant(std::vector<milliseconds> valid_in) {
    return {"s", std::move(valid_in), {}};
  }

  TimePoint now{milliseconds(100000)};
  ServerLimitTable limits;
  PermitWallet wallet{limits};
  PermitIssuer issuer{now - milliseconds(60000)};
};

BOOST_FIXTURE_TEST_SUITE(permits, Fixture)

BOOST_AUTO_TEST_CASE(issuer_spaces_permits_by_its_part_of_the_limit) {
  // One of three parts of three requests a second.
  BOOST_TEST(issuer.Issue({"s", 1}, 3, now).valid_in.size() == 1);
  const auto refused = issuer.Issue({"s", 1}, 3, now);
  BOOST_TEST(refused.valid_in.empty());
  BOOST_TEST(refused.retry_in.count() > 0);
  const auto later = now + refused.retry_in;
  const auto granted = issuer.Issue({"s", 5}, 3, later);
  BOOST_REQUIRE(granted.valid_in.size() == 1);
  BOOST_TEST((later + granted.valid_in[0] >= now + milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(restarted_issuer_waits_until_earlier_permits_are_over) {
  PermitIssuer restarted(now);
  const auto refused = restarted.Issue({"s", 1}, 3, now);
  BOOST_TEST(refused.valid_in.empty());
  BOOST_TEST((refused.retry_in >= kPermitLifetime));
  const auto later = now + refused.retry_in;
  BOOST_TEST(restarted.Issue({"s", 1}, 3, later).valid_in.size() == 1);
}

BOOST_AUTO_TEST_CASE(issuers_are_of_different_data_centres_if_there_are_some) {
  StorageList list;
  for (const char* it : {"a1", "a2", "b1", "c1", "c2"}) {
    list.members.push_back({it, it, it, std::string(1, it[0])});
  }
  const std::vector<std::string> expected{"a1", "b1", "c1"};
  BOOST_TEST(PermitIssuersOf(list) == expected,
             boost::test_tools::per_element());
  list.members.resize(2);
  BOOST_TEST(PermitIssuersOf(list).size() == 2);
}

BOOST_AUTO_TEST_CASE(permit_is_for_one_request_and_expires) {
  wallet.SetWanted("s", 2, now);
  const auto question = wallet.NextQuestion(now);
  BOOST_REQUIRE(question.has_value());
  BOOST_TEST(question->requests[0].wanted == 2);
  wallet.Apply(*question, {Grant({milliseconds(0), milliseconds(100)})}, 1,
               now);
  BOOST_TEST(wallet.Take("s", now));
  BOOST_TEST(!wallet.Take("s", now));
  BOOST_TEST(wallet.WaitFor("s", 0, now)->count() == 100);
  const auto too_late = now + milliseconds(100) + kPermitLifetime;
  BOOST_TEST(!wallet.Take("s", too_late));
}

BOOST_AUTO_TEST_CASE(next_issuer_is_asked_for_what_the_first_refused) {
  wallet.SetWanted("s", 1, now);
  const auto first = wallet.NextQuestion(now);
  BOOST_TEST(first->issuer == "a");
  // While the first has not replied, the second is not asked for the same.
  BOOST_TEST(!wallet.NextQuestion(now).has_value());
  wallet.Apply(*first, {{"s", {}, milliseconds(700)}}, 1, now);
  const auto second = wallet.NextQuestion(now);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->issuer == "b");
  wallet.Apply(*second, {{"s", {}, milliseconds(900)}}, 1, now);
  BOOST_TEST(!wallet.HasWants(now));
  BOOST_TEST(!wallet.WaitFor("s", 0, now).has_value());
  BOOST_TEST((wallet.RetryAt("s", now) == now + milliseconds(700)));
  BOOST_TEST(wallet.HasWants(now + milliseconds(700)));
}

BOOST_AUTO_TEST_CASE(silent_issuer_does_not_keep_others_from_being_asked) {
  wallet.SetWanted("s", 1, now);
  const auto first = wallet.NextQuestion(now);
  wallet.OnSilence(*first, now + milliseconds(150));
  const auto second = wallet.NextQuestion(now + milliseconds(150));
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST(second->issuer == "b");
}

BOOST_AUTO_TEST_CASE(daemon_without_issuers_uses_a_part_after_a_while) {
  wallet.SetIssuers({});
  wallet.SetWanted("s", 1, now);
  int taken = 0;
  const int seconds = 300;
  for (int n = 0; n < seconds * 10; ++n) {
    taken += wallet.Take("s", now + milliseconds(100) * n) ? 1 : 0;
  }
  BOOST_TEST(taken > 0);
  // Two daemons of that kind at least have room within the limit.
  BOOST_TEST(taken <= seconds * 3 / 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
