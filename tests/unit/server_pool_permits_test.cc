#include <boost/test/unit_test.hpp>

#include "core/server_pool.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

struct Fixture {
  BackendServer MakeServer(const std::string& id) {
    BackendServer out;
    out.id = id;
    out.service = "model";
    out.address = "10.0.0.1:" + id;
    out.data_centre = "north";
    out.slots = 8;
    return out;
  }
  SlotRequest MakeRequest(int priority = 0) {
    SlotRequest out;
    out.ticket = ++tickets;
    out.priority = priority;
    out.arrived = now;
    out.acquire_by = now + milliseconds(2000);
    return out;
  }
  void Limit(const std::string& id) { limits.Record({id, {}, 1.0, {}}, now); }
  void Reply(const std::vector<milliseconds>& valid_in, milliseconds retry_in) {
    pool.UpdateWantedPermits(now);
    const auto question = wallet.NextQuestion(now);
    BOOST_REQUIRE(question.has_value());
    std::vector<PermitReply> replies;
    for (const auto& it : question->requests) {
      replies.push_back({it.server_id, valid_in, retry_in});
    }
    wallet.Apply(*question, replies, 1, now);
  }

  Fixture() { wallet.SetIssuers({"a"}); }

  TimePoint now{milliseconds(100000)};
  std::uint64_t tickets = 0;
  ServerLimitTable limits;
  PermitWallet wallet{limits};
  ServerPool pool{"north", false, 0, &wallet};
};

BOOST_FIXTURE_TEST_SUITE(server_pool_permits, Fixture)

BOOST_AUTO_TEST_CASE(limited_server_gets_no_request_without_a_permit) {
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  BOOST_TEST(!pool.TryAcquire(MakeRequest(), now).has_value());
  pool.Enqueue(MakeRequest());
  BOOST_TEST(pool.AssignSlots(now).empty());
  Reply({milliseconds(0)}, milliseconds(500));
  BOOST_TEST(pool.AssignSlots(now).size() == 1);
  BOOST_TEST(!pool.TryAcquire(MakeRequest(), now).has_value());
}

BOOST_AUTO_TEST_CASE(request_goes_to_another_server_when_there_is_no_permit) {
  pool.Update({MakeServer("s"), MakeServer("t")}, now);
  Limit("s");
  std::vector<std::string> served;
  for (int n = 0; n < 8; ++n) {
    pool.Enqueue(MakeRequest());
    for (const auto& it : pool.AssignSlots(now)) {
      served.push_back(it.slot.server_id);
    }
    pool.UpdateWantedPermits(now);
    if (wallet.HasWants(now)) {
      Reply({}, milliseconds(500));
    }
    for (const auto& it : pool.AssignSlots(now)) {
      served.push_back(it.slot.server_id);
    }
  }
  BOOST_TEST(served.size() == 8);
  BOOST_TEST(std::count(served.begin(), served.end(), "t") == 8);
}

BOOST_AUTO_TEST_CASE(most_urgent_waiting_request_gets_the_permit) {
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  pool.Enqueue(MakeRequest(3));
  pool.Enqueue(MakeRequest(0));
  pool.AssignSlots(now);
  Reply({milliseconds(0)}, milliseconds(500));
  const auto assigned = pool.AssignSlots(now);
  BOOST_REQUIRE(assigned.size() == 1);
  BOOST_TEST(assigned[0].ticket == 2);
}

BOOST_AUTO_TEST_CASE(expected_wait_tells_when_a_permit_may_come) {
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  pool.Enqueue(MakeRequest());
  pool.AssignSlots(now);
  Reply({}, milliseconds(700));
  BOOST_TEST(pool.ExpectedWait(MakeRequest(), now).count() >= 700);
}

BOOST_AUTO_TEST_CASE(server_is_used_as_before_when_its_limit_has_ended) {
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  BOOST_TEST(!pool.TryAcquire(MakeRequest(), now).has_value());
  limits.RecordUnlimited("s", {}, now + milliseconds(1), now + milliseconds(2));
  BOOST_TEST(pool.TryAcquire(MakeRequest(), now).has_value());
}

BOOST_AUTO_TEST_CASE(limited_server_is_still_used_without_any_issuer) {
  wallet.SetIssuers({});
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  int sent = 0;
  for (const auto end = now + std::chrono::minutes(5); now < end;
       now += milliseconds(25)) {
    if (pool.waiting() == 0) {
      pool.Enqueue(MakeRequest());
    }
    sent += static_cast<int>(pool.AssignSlots(now).size());
    pool.UpdateWantedPermits(now);
  }
  BOOST_TEST(sent > 0);
  BOOST_TEST(sent <= 300 / 2);
}

// Each question takes its whole time limit, as if packets were dropped.
BOOST_AUTO_TEST_CASE(limited_server_is_still_used_while_issuers_are_silent) {
  wallet.SetIssuers({"a", "b", "c"});
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  int sent = 0;
  std::optional<PermitWallet::Question> asked;
  TimePoint asked_until;
  for (const auto end = now + std::chrono::minutes(10); now < end;
       now += milliseconds(25)) {
    if (pool.waiting() == 0) {
      pool.Enqueue(MakeRequest());
    }
    if (asked && asked_until <= now) {
      wallet.OnSilence(*asked, now);
      asked.reset();
    }
    sent += static_cast<int>(pool.AssignSlots(now).size());
    pool.UpdateWantedPermits(now);
    if (!asked) {
      asked = wallet.NextQuestion(now);
      asked_until = now + milliseconds(150);
    }
  }
  BOOST_TEST(sent > 0);
  BOOST_TEST(sent <= 600 / 2);
}

BOOST_AUTO_TEST_CASE(nothing_is_asked_for_a_server_that_has_left) {
  pool.Update({MakeServer("s")}, now);
  Limit("s");
  pool.Enqueue(MakeRequest());
  pool.AssignSlots(now);
  pool.UpdateWantedPermits(now);
  BOOST_TEST(wallet.HasWants(now));
  pool.Update({MakeServer("t")}, now);
  pool.AssignSlots(now);
  pool.UpdateWantedPermits(now);
  BOOST_TEST(!wallet.HasWants(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
