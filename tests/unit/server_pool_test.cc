#include <map>

#include <boost/test/unit_test.hpp>

#include "core/server_pool.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BackendServer MakeServer(const std::string& id,
                         const std::string& data_centre,
                         int slots = 2) {
  BackendServer out;
  out.id = id;
  out.service = "model";
  out.address = "10.0.0.1:" + id;
  out.data_centre = data_centre;
  out.slots = slots;
  return out;
}

SlotRequest MakeAsk(std::uint64_t ticket, TimePoint now, int priority = 0) {
  SlotRequest out;
  out.ticket = ticket;
  out.priority = priority;
  out.arrived = now;
  out.acquire_by = now + milliseconds(4000);
  return out;
}

struct Fixture {
  TimePoint now{milliseconds(100000)};
  ServerPool pool{"north", false};
  ServerPool engines{"north", true};
};

BOOST_FIXTURE_TEST_SUITE(server_pool, Fixture)

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_nothing) {
  auto leaving = MakeServer("a", "north");
  leaving.leaving = true;
  pool.Update({leaving}, now);
  BOOST_TEST(!pool.TryAcquire(MakeAsk(1, now), now).has_value());
  pool.Update({leaving, MakeServer("b", "south")}, now);
  BOOST_TEST(pool.TryAcquire(MakeAsk(2, now), now)->server_id == "b");
}

BOOST_AUTO_TEST_CASE(no_server_gets_more_than_its_slots) {
  pool.Update({MakeServer("a", "north"), MakeServer("b", "north")}, now);
  std::map<std::string, int> got;
  for (std::uint64_t n = 0; n < 4; ++n) {
    ++got[pool.TryAcquire(MakeAsk(n, now), now)->server_id];
  }
  BOOST_TEST(got["a"] == 2);
  BOOST_TEST(got["b"] == 2);
  BOOST_TEST(!pool.TryAcquire(MakeAsk(9, now), now).has_value());
}

BOOST_AUTO_TEST_CASE(what_others_send_counts_as_well) {
  pool.Update({MakeServer("a", "north"), MakeServer("b", "north")}, now);
  const auto place = pool.TryAcquire(MakeAsk(1, now), now);
  const auto& told = place->server_id;
  pool.ObserveResponseStart(told, ServerLoad{2, 3, 2}, milliseconds(20), now);
  pool.Release(told, ExchangeResult::kAnswered, {}, milliseconds(20), now);
  for (std::uint64_t n = 2; n < 4; ++n) {
    BOOST_TEST(pool.TryAcquire(MakeAsk(n, now), now)->server_id != told);
  }
}

BOOST_AUTO_TEST_CASE(a_free_place_goes_to_the_most_urgent_that_waits) {
  pool.Update({MakeServer("a", "north", 1)}, now);
  BOOST_TEST(pool.TryAcquire(MakeAsk(1, now), now).has_value());
  pool.Enqueue(MakeAsk(2, now, 1));
  pool.Enqueue(MakeAsk(3, now + milliseconds(1), 0));
  BOOST_TEST(pool.AssignSlots(now).empty());
  pool.Release("a", ExchangeResult::kAnswered, {}, milliseconds(50), now);
  const auto assigned = pool.AssignSlots(now);
  BOOST_REQUIRE(assigned.size() == 1U);
  BOOST_TEST(assigned[0].ticket == 3U);
}

BOOST_AUTO_TEST_CASE(programs_that_can_be_in_time_go_first_tightest_first) {
  pool.Update({MakeServer("a", "north", 3)}, now);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    pool.TryAcquire(MakeAsk(n, now), now);
  }
  auto late = MakeAsk(10, now);
  late.late = true;
  auto tight = MakeAsk(11, now);
  tight.must_start_by = now + milliseconds(50);
  auto relaxed = MakeAsk(12, now);
  relaxed.must_start_by = now + milliseconds(900);
  pool.Enqueue(late);
  pool.Enqueue(relaxed);
  pool.Enqueue(tight);
  for (int n = 0; n < 3; ++n) {
    pool.Release("a", ExchangeResult::kAnswered, {}, milliseconds(50), now);
  }
  const auto assigned = pool.AssignSlots(now);
  BOOST_REQUIRE(assigned.size() == 3U);
  BOOST_TEST(assigned[0].ticket == 11U);
  BOOST_TEST(assigned[1].ticket == 12U);
  BOOST_TEST(assigned[2].ticket == 10U);
}

BOOST_AUTO_TEST_CASE(nobody_overtakes_equals_that_wait) {
  pool.Update({MakeServer("a", "north", 1)}, now);
  pool.TryAcquire(MakeAsk(1, now), now);
  pool.Enqueue(MakeAsk(2, now));
  pool.Release("a", ExchangeResult::kAnswered, {}, milliseconds(50), now);
  BOOST_TEST(!pool.TryAcquire(MakeAsk(3, now), now).has_value());
  BOOST_TEST(pool.AssignSlots(now).at(0).ticket == 2U);
}

BOOST_AUTO_TEST_CASE(a_failing_server_is_left_alone_and_tried_gently) {
  pool.Update({MakeServer("a", "north", 4), MakeServer("b", "south", 4)}, now);
  for (int n = 0; n < 2; ++n) {
    BOOST_TEST(pool.TryAcquire(MakeAsk(1, now), now)->server_id == "a");
    pool.Release("a", ExchangeResult::kFailed, {}, milliseconds(5), now);
  }
  BOOST_TEST(pool.TryAcquire(MakeAsk(2, now), now)->server_id == "b");
  now += milliseconds(2100);
  // One request tries it; the next ones wait for how that goes.
  BOOST_TEST(pool.TryAcquire(MakeAsk(3, now), now)->server_id == "a");
  BOOST_TEST(pool.TryAcquire(MakeAsk(4, now), now)->server_id == "b");
  pool.ObserveResponseStart("a", {}, milliseconds(20), now);
  BOOST_TEST(pool.TryAcquire(MakeAsk(5, now), now)->server_id == "a");
}

BOOST_AUTO_TEST_CASE(a_slow_server_is_avoided) {
  pool.Update({MakeServer("a", "north", 4), MakeServer("b", "north", 4),
               MakeServer("c", "north", 4)},
              now);
  for (const auto* id : {"a", "b", "c"}) {
    const auto slow = std::string(id) == "b";
    pool.ObserveResponseStart(id, {}, milliseconds(slow ? 400 : 20), now);
  }
  for (std::uint64_t n = 0; n < 6; ++n) {
    BOOST_TEST(pool.TryAcquire(MakeAsk(n, now), now)->server_id != "b");
  }
}

BOOST_AUTO_TEST_CASE(a_session_returns_to_the_engine_that_has_it) {
  engines.Update({MakeServer("a", "north", 8), MakeServer("b", "north", 8),
                  MakeServer("c", "north", 8)},
                 now);
  auto ask = MakeAsk(1, now);
  ask.session = "program";
  ask.prompt = {{"shared", 2500}, {"session", 900}};
  const auto first = engines.TryAcquire(ask, now);
  BOOST_TEST(first->uncached_tokens == 3400);
  ask.prompt = {{"shared", 2500}, {"session", 1900}};
  const auto second = engines.TryAcquire(ask, now);
  BOOST_TEST(second->server_id == first->server_id);
  BOOST_TEST(second->uncached_tokens == 1000);
}

BOOST_AUTO_TEST_CASE(daemons_that_share_nothing_agree_on_a_home) {
  ServerPool other("north", true);
  const std::vector<BackendServer> servers = {MakeServer("a", "north", 8),
                                              MakeServer("b", "north", 8),
                                              MakeServer("c", "north", 8)};
  engines.Update(servers, now);
  other.Update(servers, now);
  for (std::uint64_t n = 0; n < 20; ++n) {
    auto ask = MakeAsk(n, now);
    ask.session = "program" + std::to_string(n);
    ask.prompt = {{"shared" + ask.session, 2500}, {"part" + ask.session, 900}};
    const auto here = engines.TryAcquire(ask, now);
    const auto there = other.TryAcquire(ask, now);
    BOOST_TEST(here->server_id == there->server_id);
    engines.Release(here->server_id, ExchangeResult::kAnswered, {},
                    milliseconds(100), now);
    other.Release(there->server_id, ExchangeResult::kAnswered, {},
                  milliseconds(100), now);
  }
}

// A session that comes through another data centre returns to the engine that
// is known to have it, unless that has too much to do.
BOOST_AUTO_TEST_CASE(a_session_is_served_where_its_last_turn_was) {
  engines.Update({MakeServer("a", "north", 8), MakeServer("b", "north", 8),
                  MakeServer("far", "south", 8)},
                 now);
  auto ask = MakeAsk(1, now);
  ask.session = "program";
  ask.prompt = {{"shared", 2500}, {"session", 6000}};
  ask.cached_at = "far";
  engines.ObserveLoadReport({"a", 4, {}}, now);
  engines.ObserveLoadReport({"b", 4, {}}, now);
  BOOST_TEST(engines.TryAcquire(ask, now)->server_id == "far");
  engines.ObserveLoadReport({"far", 20, {}}, now + milliseconds(1));
  now += milliseconds(200);
  BOOST_TEST(engines.TryAcquire(ask, now)->server_id != "far");
  ask.cached_at = "gone";
  BOOST_TEST(engines.TryAcquire(ask, now)->server_id != "far");
}

// Several daemons serve the turns of many sessions by turns, each seeing only
// its own part of the load: the later turns find the earlier ones cached.
BOOST_AUTO_TEST_CASE(sessions_stay_where_they_are_cached_across_daemons) {
  constexpr std::size_t kDaemons = 8;
  constexpr milliseconds kHeld{240};
  std::vector<BackendServer> servers;
  for (const auto* id : {"a", "b", "c", "d", "e", "f"}) {
    servers.push_back(MakeServer(id, "north", 8));
  }
  std::vector<ServerPool> daemons;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    daemons.emplace_back("north", true);
    daemons.back().Update(servers, now);
  }
  std::multimap<TimePoint, std::pair<ServerPool*, std::string>> ends;
  std::map<std::string, std::string> last;  // Engine, by session.
  int moved = 0;
  int turns = 0;
  for (std::size_t n = 0; n < 2400; ++n) {
    // 36 of 48 places are in use on average.
    now += kHeld / 36;
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto it = ends.begin()->second;
      ends.erase(ends.begin());
      it.first->Release(it.second, ExchangeResult::kAnswered, {}, kHeld, now);
    }
    // 80 sessions at a time, of five turns each.
    const auto generation = n / 400;
    const auto session =
        std::to_string(generation) + "-" + std::to_string(n % 80);
    auto& daemon = daemons[(n * 5 + n / 80) % kDaemons];
    auto ask = MakeAsk(n, now);
    ask.session = session;
    ask.prompt = {
        {"shared" + std::to_string(n % 3), 2500},
        {session, static_cast<std::int64_t>(700 * (n % 400 / 80 + 1))}};
    const auto place = daemon.TryAcquire(ask, now);
    BOOST_REQUIRE(place.has_value());
    ends.emplace(now + kHeld, std::pair(&daemon, place->server_id));
    if (last.count(session) > 0) {
      ++turns;
      moved += last[session] == place->server_id ? 0 : 1;
    }
    last[session] = place->server_id;
  }
  BOOST_TEST(turns > 1800);
  // A tenth may have to move to keep the engines' load even.
  BOOST_TEST(moved * 10 <= turns);
}

// Servers tell of queues: new programs are told to come back, the less urgent
// kind first, those under way go on, and all begin again once queues are gone.
BOOST_AUTO_TEST_CASE(new_programs_wait_for_the_queues_at_servers_to_end) {
  engines.Update({MakeServer("a", "north", 8), MakeServer("b", "north", 8),
                  MakeServer("c", "north", 8)},
                 now);
  const auto served = [&](ProgramStage stage, int priority) {
    int out = 0;
    for (std::uint64_t n = 0; n < 100; ++n) {
      auto ask = MakeAsk(n, now, priority);
      ask.session = "program" + std::to_string(n);
      ask.prompt = {{ask.session, 1000}};
      ask.stage = stage;
      const auto place = engines.TryAcquire(ask, now);
      if (place) {
        ++out;
        engines.Release(place->server_id, ExchangeResult::kAbandoned, {},
                        milliseconds(0), now);
      }
    }
    return out;
  };
  BOOST_TEST(served(ProgramStage::kNew, 1) == 100);
  // A third of the servers have a queue of twelve, the others none.
  for (int n = 0; n < 90; ++n) {
    now += milliseconds(5);
    engines.ObserveLoadReport({"a", 20, {}}, now);
    engines.ObserveLoadReport({"b", 6, {}}, now + milliseconds(1));
    engines.ObserveLoadReport({"c", 6, {}}, now + milliseconds(2));
  }
  now += milliseconds(10);
  BOOST_TEST(served(ProgramStage::kStarted, 1) == 100);
  BOOST_TEST(served(ProgramStage::kNew, 1) == 0);
  const int urgent = served(ProgramStage::kNew, 0);
  BOOST_TEST(urgent >= served(ProgramStage::kNew, 1));
  BOOST_TEST(served(ProgramStage::kReturning, 0) >= urgent);
  now += milliseconds(3000);
  BOOST_TEST(served(ProgramStage::kNew, 1) == 100);
}

// Programs of five turns come twice as often as the servers can serve them:
// those that begin end in time, and the servers stay busy with them.
BOOST_AUTO_TEST_CASE(programs_under_way_end_while_new_ones_wait_outside) {
  constexpr milliseconds kTurn{100};
  constexpr int kTurns = 5;
  pool.Update({MakeServer("a", "north", 10)}, now);
  struct Program {
    int turns = 0;
    TimePoint began{};
  };
  std::map<std::uint64_t, Program> programs;            // By ticket.
  std::multimap<TimePoint, std::uint64_t> ends;         // Of turns.
  std::map<std::uint64_t, TimePoint> waiting_to_begin;  // Until when.
  int begun = 0;
  int in_time = 0;
  int busy_turns = 0;
  const auto serve = [&](TimePoint time) {
    for (const auto& it : pool.AssignSlots(time)) {
      waiting_to_begin.erase(it.ticket);
      auto& program = programs[it.ticket];
      if (program.turns == 0) {
        ++begun;
        program.began = time;
      }
      ends.emplace(time + kTurn, it.ticket);
    }
  };
  for (std::uint64_t n = 1; n <= 1600; ++n) {
    // 40 programs a second, for servers that do 20.
    now += milliseconds(5);
    while (!ends.empty() && ends.begin()->first <= now) {
      const auto [at, ticket] = *ends.begin();
      ends.erase(ends.begin());
      ++busy_turns;
      pool.Release("a", ExchangeResult::kAnswered, {}, kTurn, at);
      auto& program = programs[ticket];
      if (++program.turns == kTurns) {
        in_time += at - program.began <= kTurn * kTurns * 6 / 5 ? 1 : 0;
      } else {
        pool.Enqueue(MakeAsk(ticket, at, 1));
      }
      serve(at);
    }
    if (n % 5 == 0) {
      auto ask = MakeAsk(n, now, n % 2 == 0 ? 0 : 1);
      ask.stage = ProgramStage::kNew;
      waiting_to_begin[n] = now + milliseconds(60);
      pool.Enqueue(ask);
    }
    std::erase_if(waiting_to_begin, [&](const auto& it) {
      if (it.second > now) {
        return false;
      }
      pool.Cancel(it.first);
      return true;
    });
    serve(now);
  }
  // Eight seconds of ten places.
  BOOST_TEST(busy_turns >= 700);
  BOOST_TEST(begun >= 140);
  // Those still under way at the end are no more than the places.
  BOOST_TEST(in_time >= begun - 10);
}

// Twice the load that the servers carry for two seconds: those that are
// served are served early, the rest are told at once.
BOOST_AUTO_TEST_CASE(an_overload_is_refused_early_and_does_not_collapse) {
  pool.Update({MakeServer("a", "north", 10)}, now);
  constexpr milliseconds kWork{100};
  std::multimap<TimePoint, int> ends;
  int served = 0;
  int refused = 0;
  std::uint64_t ticket = 1;
  const auto finish_until = [&](TimePoint time) {
    while (!ends.empty() && ends.begin()->first <= time) {
      const auto at = ends.begin()->first;
      ends.erase(ends.begin());
      pool.Release("a", ExchangeResult::kAnswered, {}, kWork, at);
      ++served;
      for (const auto& it : pool.AssignSlots(at)) {
        (void)it;
        ends.emplace(at + kWork, 0);
      }
    }
  };
  // 200 a second for servers that do 100 a second.
  for (int n = 0; n < 400; ++n) {
    now += milliseconds(5);
    finish_until(now);
    auto ask = MakeAsk(ticket++, now);
    ask.acquire_by = now + milliseconds(300);
    if (pool.TryAcquire(ask, now)) {
      ends.emplace(now + kWork, 0);
    } else if (pool.ExpectedWait(ask, now) > milliseconds(300)) {
      ++refused;
    } else {
      pool.Enqueue(ask);
    }
  }
  finish_until(now + milliseconds(1000));
  BOOST_TEST(served + refused == 400);
  BOOST_TEST(served >= 190);
  // Never more waits than can be served in time.
  BOOST_TEST(pool.waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
