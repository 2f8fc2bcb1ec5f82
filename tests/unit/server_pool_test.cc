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

SlotRequest MakeRequest(std::uint64_t ticket, TimePoint now, int priority = 0) {
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

BOOST_AUTO_TEST_CASE(leaving_server_gets_no_requests) {
  auto leaving = MakeServer("a", "north");
  leaving.leaving = true;
  pool.Update({leaving}, now);
  BOOST_TEST(!pool.TryAcquire(MakeRequest(1, now), now).has_value());
  pool.Update({leaving, MakeServer("b", "south")}, now);
  BOOST_TEST(pool.TryAcquire(MakeRequest(2, now), now)->server_id == "b");
}

BOOST_AUTO_TEST_CASE(server_gets_at_most_as_many_requests_as_slots) {
  pool.Update({MakeServer("a", "north"), MakeServer("b", "north")}, now);
  std::map<std::string, int> request_counts;
  for (std::uint64_t n = 0; n < 4; ++n) {
    ++request_counts[pool.TryAcquire(MakeRequest(n, now), now)->server_id];
  }
  BOOST_TEST(request_counts["a"] == 2);
  BOOST_TEST(request_counts["b"] == 2);
  BOOST_TEST(!pool.TryAcquire(MakeRequest(9, now), now).has_value());
}

BOOST_AUTO_TEST_CASE(requests_of_other_daemons_count) {
  pool.Update({MakeServer("a", "north"), MakeServer("b", "north")}, now);
  const auto slot = pool.TryAcquire(MakeRequest(1, now), now);
  const auto& loaded_server = slot->server_id;
  pool.ObserveResponseStart({loaded_server}, ServerLoad{2, 3, 2},
                            milliseconds(20), now);
  pool.Release({loaded_server}, ExchangeResult::kAnswered, {}, milliseconds(20),
               now);
  for (std::uint64_t n = 2; n < 4; ++n) {
    BOOST_TEST(pool.TryAcquire(MakeRequest(n, now), now)->server_id !=
               loaded_server);
  }
}

BOOST_AUTO_TEST_CASE(free_slot_goes_to_most_urgent_waiting_request) {
  pool.Update({MakeServer("a", "north", 1)}, now);
  BOOST_TEST(pool.TryAcquire(MakeRequest(1, now), now).has_value());
  pool.Enqueue(MakeRequest(2, now, 1));
  pool.Enqueue(MakeRequest(3, now + milliseconds(1), 0));
  BOOST_TEST(pool.AssignSlots(now).empty());
  pool.Release({"a"}, ExchangeResult::kAnswered, {}, milliseconds(50), now);
  const auto assigned = pool.AssignSlots(now);
  BOOST_REQUIRE(assigned.size() == 1U);
  BOOST_TEST(assigned[0].ticket == 3U);
}

BOOST_AUTO_TEST_CASE(programs_go_by_latest_start_and_late_ones_last) {
  pool.Update({MakeServer("a", "north", 3)}, now);
  for (std::uint64_t n = 1; n <= 3; ++n) {
    pool.TryAcquire(MakeRequest(n, now), now);
  }
  auto late = MakeRequest(10, now);
  late.late = true;
  auto tight = MakeRequest(11, now);
  tight.must_start_by = now + milliseconds(50);
  auto relaxed = MakeRequest(12, now);
  relaxed.must_start_by = now + milliseconds(900);
  pool.Enqueue(late);
  pool.Enqueue(relaxed);
  pool.Enqueue(tight);
  for (int n = 0; n < 3; ++n) {
    pool.Release({"a"}, ExchangeResult::kAnswered, {}, milliseconds(50), now);
  }
  const auto assigned = pool.AssignSlots(now);
  BOOST_REQUIRE(assigned.size() == 3U);
  BOOST_TEST(assigned[0].ticket == 11U);
  BOOST_TEST(assigned[1].ticket == 12U);
  BOOST_TEST(assigned[2].ticket == 10U);
}

BOOST_AUTO_TEST_CASE(new_request_does_not_overtake_waiting_equal) {
  pool.Update({MakeServer("a", "north", 1)}, now);
  pool.TryAcquire(MakeRequest(1, now), now);
  pool.Enqueue(MakeRequest(2, now));
  pool.Release({"a"}, ExchangeResult::kAnswered, {}, milliseconds(50), now);
  BOOST_TEST(!pool.TryAcquire(MakeRequest(3, now), now).has_value());
  BOOST_TEST(pool.AssignSlots(now).at(0).ticket == 2U);
}

BOOST_AUTO_TEST_CASE(end_of_earlier_request_does_not_end_probe) {
  pool.Update({MakeServer("a", "north", 8)}, now);
  const auto earlier = *pool.TryAcquire(MakeRequest(1, now), now);
  for (std::uint64_t n = 2; n <= 3; ++n) {
    const auto slot = *pool.TryAcquire(MakeRequest(n, now), now);
    pool.Release(slot, ExchangeResult::kFailed, {}, milliseconds(10), now);
  }
  now += milliseconds(3000);
  const auto probe = *pool.TryAcquire(MakeRequest(4, now), now);
  BOOST_TEST(!pool.TryAcquire(MakeRequest(5, now), now).has_value());
  pool.Release(earlier, ExchangeResult::kAbandoned, {}, milliseconds(10), now);
  BOOST_TEST(!pool.TryAcquire(MakeRequest(6, now), now).has_value());
  pool.Release(probe, ExchangeResult::kAnswered, {}, milliseconds(10), now);
  BOOST_TEST(pool.TryAcquire(MakeRequest(7, now), now).has_value());
}

BOOST_AUTO_TEST_CASE(failing_server_is_suspended_and_probed) {
  pool.Update({MakeServer("a", "north", 4), MakeServer("b", "south", 4)}, now);
  for (int n = 0; n < 2; ++n) {
    BOOST_TEST(pool.TryAcquire(MakeRequest(1, now), now)->server_id == "a");
    pool.Release({"a"}, ExchangeResult::kFailed, {}, milliseconds(5), now);
  }
  BOOST_TEST(pool.TryAcquire(MakeRequest(2, now), now)->server_id == "b");
  now += milliseconds(2100);
  // One request probes the server; others avoid it until the probe succeeds.
  BOOST_TEST(pool.TryAcquire(MakeRequest(3, now), now)->server_id == "a");
  BOOST_TEST(pool.TryAcquire(MakeRequest(4, now), now)->server_id == "b");
  pool.ObserveResponseStart({"a"}, {}, milliseconds(20), now);
  BOOST_TEST(pool.TryAcquire(MakeRequest(5, now), now)->server_id == "a");
}

BOOST_AUTO_TEST_CASE(slow_server_is_avoided) {
  pool.Update({MakeServer("a", "north", 4), MakeServer("b", "north", 4),
               MakeServer("c", "north", 4)},
              now);
  for (const auto* id : {"a", "b", "c"}) {
    const auto slow = std::string(id) == "b";
    pool.ObserveResponseStart({id}, {}, milliseconds(slow ? 400 : 20), now);
  }
  for (std::uint64_t n = 0; n < 6; ++n) {
    BOOST_TEST(pool.TryAcquire(MakeRequest(n, now), now)->server_id != "b");
  }
}

BOOST_AUTO_TEST_CASE(session_returns_to_engine_with_cached_prompt) {
  engines.Update({MakeServer("a", "north", 8), MakeServer("b", "north", 8),
                  MakeServer("c", "north", 8)},
                 now);
  auto request = MakeRequest(1, now);
  request.session = "program";
  request.prompt = {{"shared", 2500}, {"session", 900}};
  const auto first = engines.TryAcquire(request, now);
  BOOST_TEST(first->uncached_tokens == 3400);
  request.prompt = {{"shared", 2500}, {"session", 1900}};
  const auto second = engines.TryAcquire(request, now);
  BOOST_TEST(second->server_id == first->server_id);
  BOOST_TEST(second->uncached_tokens == 1000);
}

BOOST_AUTO_TEST_CASE(daemons_agree_on_home_server_without_messages) {
  ServerPool other("north", true);
  const std::vector<BackendServer> servers = {MakeServer("a", "north", 8),
                                              MakeServer("b", "north", 8),
                                              MakeServer("c", "north", 8)};
  engines.Update(servers, now);
  other.Update(servers, now);
  for (std::uint64_t n = 0; n < 20; ++n) {
    auto request = MakeRequest(n, now);
    request.session = "program" + std::to_string(n);
    request.prompt = {{"shared" + request.session, 2500},
                      {"part" + request.session, 900}};
    const auto here = engines.TryAcquire(request, now);
    const auto there = other.TryAcquire(request, now);
    BOOST_TEST(here->server_id == there->server_id);
    engines.Release(*here, ExchangeResult::kAnswered, {}, milliseconds(100),
                    now);
    other.Release(*there, ExchangeResult::kAnswered, {}, milliseconds(100),
                  now);
  }
}

// A session whose last turn ran in another data centre returns to the engine
// that has it cached, unless that engine is overloaded.
BOOST_AUTO_TEST_CASE(session_runs_where_its_last_turn_ran) {
  engines.Update({MakeServer("a", "north", 8), MakeServer("b", "north", 8),
                  MakeServer("far", "south", 8)},
                 now);
  auto request = MakeRequest(1, now);
  request.session = "program";
  request.prompt = {{"shared", 2500}, {"session", 6000}};
  request.cached_at = "far";
  engines.ObserveLoadReport({"a", 4, {}}, now);
  engines.ObserveLoadReport({"b", 4, {}}, now);
  BOOST_TEST(engines.TryAcquire(request, now)->server_id == "far");
  engines.ObserveLoadReport({"far", 20, {}}, now + milliseconds(1));
  now += milliseconds(200);
  BOOST_TEST(engines.TryAcquire(request, now)->server_id != "far");
  request.cached_at = "gone";
  BOOST_TEST(engines.TryAcquire(request, now)->server_id != "far");
}

// The turns of each session arrive at changing daemons, each of which sees only
// its own part of the load. Later turns must still run where the earlier ones
// are cached.
BOOST_AUTO_TEST_CASE(sessions_stay_on_cached_engine_across_daemons) {
  constexpr std::size_t kDaemons = 8;
  constexpr milliseconds kHoldTime{240};
  std::vector<BackendServer> servers;
  for (const auto* id : {"a", "b", "c", "d", "e", "f"}) {
    servers.push_back(MakeServer(id, "north", 8));
  }
  std::vector<ServerPool> daemons;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    daemons.emplace_back("north", true);
    daemons.back().Update(servers, now);
  }
  std::multimap<TimePoint, std::pair<ServerPool*, std::string>> pending_ends;
  std::map<std::string, std::string> last_engine;  // By session.
  int moved = 0;
  int turns = 0;
  for (std::size_t n = 0; n < 2400; ++n) {
    // On average 36 of the 48 slots are in use.
    now += kHoldTime / 36;
    while (!pending_ends.empty() && pending_ends.begin()->first <= now) {
      const auto it = pending_ends.begin()->second;
      pending_ends.erase(pending_ends.begin());
      it.first->Release({it.second}, ExchangeResult::kAnswered, {}, kHoldTime,
                        now);
    }
    // 80 concurrent sessions of five turns each.
    const auto generation = n / 400;
    const auto session =
        std::to_string(generation) + "-" + std::to_string(n % 80);
    auto& daemon = daemons[(n * 5 + n / 80) % kDaemons];
    auto request = MakeRequest(n, now);
    request.session = session;
    request.prompt = {
        {"shared" + std::to_string(n % 3), 2500},
        {session, static_cast<std::int64_t>(700 * (n % 400 / 80 + 1))}};
    const auto slot = daemon.TryAcquire(request, now);
    BOOST_REQUIRE(slot.has_value());
    pending_ends.emplace(now + kHoldTime, std::pair(&daemon, slot->server_id));
    if (last_engine.count(session) > 0) {
      ++turns;
      moved += last_engine[session] == slot->server_id ? 0 : 1;
    }
    last_engine[session] = slot->server_id;
  }
  BOOST_TEST(turns > 1800);
  // One turn in ten may move to balance the load of the engines.
  BOOST_TEST(moved * 10 <= turns);
}

// While servers report queues, new programs are refused, those of less urgent
// priority first, and programs that have begun continue. Once the reports have
// expired, all programs are admitted again.
BOOST_AUTO_TEST_CASE(new_programs_wait_until_server_queues_drain) {
  engines.Update({MakeServer("a", "north", 8), MakeServer("b", "north", 8),
                  MakeServer("c", "north", 8)},
                 now);
  const auto count_admitted = [&](ProgramStage stage, int priority) {
    int out = 0;
    for (std::uint64_t n = 0; n < 100; ++n) {
      auto request = MakeRequest(n, now, priority);
      request.session = "program" + std::to_string(n);
      request.prompt = {{request.session, 1000}};
      request.stage = stage;
      const auto slot = engines.TryAcquire(request, now);
      if (slot) {
        ++out;
        engines.Release(*slot, ExchangeResult::kAbandoned, {}, milliseconds(0),
                        now);
      }
    }
    return out;
  };
  BOOST_TEST(count_admitted(ProgramStage::kNew, 1) == 100);
  // One of the three servers has a queue of twelve requests, the others none.
  for (int n = 0; n < 90; ++n) {
    now += milliseconds(5);
    engines.ObserveLoadReport({"a", 20, {}}, now);
    engines.ObserveLoadReport({"b", 6, {}}, now + milliseconds(1));
    engines.ObserveLoadReport({"c", 6, {}}, now + milliseconds(2));
  }
  now += milliseconds(10);
  BOOST_TEST(count_admitted(ProgramStage::kStarted, 1) == 100);
  BOOST_TEST(count_admitted(ProgramStage::kNew, 1) == 0);
  const int urgent = count_admitted(ProgramStage::kNew, 0);
  BOOST_TEST(urgent >= count_admitted(ProgramStage::kNew, 1));
  BOOST_TEST(count_admitted(ProgramStage::kReturning, 0) >= urgent);
  now += milliseconds(3000);
  BOOST_TEST(count_admitted(ProgramStage::kNew, 1) == 100);
}

// Programs of five turns arrive at twice the rate that the servers can carry.
// Those that begin must finish in time and keep the servers busy.
BOOST_AUTO_TEST_CASE(begun_programs_finish_while_new_ones_wait) {
  constexpr milliseconds kTurn{100};
  constexpr int kTurns = 5;
  pool.Update({MakeServer("a", "north", 10)}, now);
  struct Program {
    int turns = 0;
    TimePoint began{};
  };
  std::map<std::uint64_t, Program> programs;             // By ticket.
  std::multimap<TimePoint, std::uint64_t> pending_ends;  // Tickets by time.
  std::map<std::uint64_t, TimePoint> waiting_to_begin;  // Deadlines, by ticket.
  int begun_programs = 0;
  int in_time = 0;
  int busy_turns = 0;
  const auto serve = [&](TimePoint time) {
    for (const auto& it : pool.AssignSlots(time)) {
      waiting_to_begin.erase(it.ticket);
      auto& program = programs[it.ticket];
      if (program.turns == 0) {
        ++begun_programs;
        program.began = time;
      }
      pending_ends.emplace(time + kTurn, it.ticket);
    }
  };
  for (std::uint64_t n = 1; n <= 1600; ++n) {
    // 40 programs per second, for servers that can run 20.
    now += milliseconds(5);
    while (!pending_ends.empty() && pending_ends.begin()->first <= now) {
      const auto [at, ticket] = *pending_ends.begin();
      pending_ends.erase(pending_ends.begin());
      ++busy_turns;
      pool.Release({"a"}, ExchangeResult::kAnswered, {}, kTurn, at);
      auto& program = programs[ticket];
      if (++program.turns == kTurns) {
        in_time += at - program.began <= kTurn * kTurns * 6 / 5 ? 1 : 0;
      } else {
        pool.Enqueue(MakeRequest(ticket, at, 1));
      }
      serve(at);
    }
    if (n % 5 == 0) {
      auto request = MakeRequest(n, now, n % 2 == 0 ? 0 : 1);
      request.stage = ProgramStage::kNew;
      waiting_to_begin[n] = now + milliseconds(60);
      pool.Enqueue(request);
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
  // Ten slots could run 800 turns in eight seconds.
  BOOST_TEST(busy_turns >= 700);
  BOOST_TEST(begun_programs >= 140);
  // At most one program per slot is still running at the end.
  BOOST_TEST(in_time >= begun_programs - 10);
}

// Requests arrive for two seconds at twice the rate that the servers can carry.
// Each is either served or refused on arrival, and the servers stay busy.
BOOST_AUTO_TEST_CASE(overload_is_refused_early_without_collapse) {
  pool.Update({MakeServer("a", "north", 10)}, now);
  constexpr milliseconds kWork{100};
  std::multimap<TimePoint, int> pending_ends;
  int served = 0;
  int refused = 0;
  std::uint64_t ticket = 1;
  const auto finish_until = [&](TimePoint time) {
    while (!pending_ends.empty() && pending_ends.begin()->first <= time) {
      const auto at = pending_ends.begin()->first;
      pending_ends.erase(pending_ends.begin());
      pool.Release({"a"}, ExchangeResult::kAnswered, {}, kWork, at);
      ++served;
      for (const auto& it : pool.AssignSlots(at)) {
        (void)it;
        pending_ends.emplace(at + kWork, 0);
      }
    }
  };
  // 200 requests per second, for servers that can run 100.
  for (int n = 0; n < 400; ++n) {
    now += milliseconds(5);
    finish_until(now);
    auto request = MakeRequest(ticket++, now);
    request.acquire_by = now + milliseconds(300);
    if (pool.TryAcquire(request, now)) {
      pending_ends.emplace(now + kWork, 0);
    } else if (pool.ExpectedWait(request, now) > milliseconds(300)) {
      ++refused;
    } else {
      pool.Enqueue(request);
    }
  }
  finish_until(now + milliseconds(1000));
  BOOST_TEST(served + refused == 400);
  BOOST_TEST(served >= 190);
  // All queued requests have been served.
  BOOST_TEST(pool.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(bound_request_gets_only_servers_of_its_version) {
  auto old_server = MakeServer("a", "north", 1);
  old_server.version = "v1";
  auto new_server = MakeServer("b", "north", 1);
  new_server.version = "v2";
  auto nameless = MakeServer("c", "north", 1);
  engines.Update({old_server, new_server, nameless}, now);
  auto bound = MakeRequest(1, now);
  bound.version = "v1";
  BOOST_TEST(engines.TryAcquire(bound, now)->server_id == "a");
  bound.ticket = 2;
  BOOST_TEST(!engines.TryAcquire(bound, now).has_value());
  BOOST_TEST(engines.HasVersionFor(bound));
  bound.version = "v3";
  BOOST_TEST(!engines.HasVersionFor(bound));
  bound.version = "";
  BOOST_TEST(!engines.HasVersionFor(bound));
}

BOOST_AUTO_TEST_CASE(waiting_bound_request_does_not_hold_up_others) {
  auto old_server = MakeServer("a", "north", 1);
  old_server.version = "v1";
  auto new_server = MakeServer("b", "north", 1);
  new_server.version = "v2";
  engines.Update({old_server, new_server}, now);
  auto bound = MakeRequest(1, now);
  bound.version = "v1";
  BOOST_TEST(engines.TryAcquire(bound, now).has_value());
  bound.ticket = 2;
  engines.Enqueue(bound);
  engines.Enqueue(MakeRequest(3, now, 5));
  const auto assigned = engines.AssignSlots(now);
  BOOST_REQUIRE(assigned.size() == 1U);
  BOOST_TEST(assigned.front().ticket == 3U);
  BOOST_TEST(assigned.front().slot.server_version == "v2");
}

BOOST_AUTO_TEST_CASE(sessions_prefer_versions_by_their_share_of_slots) {
  auto old_server = MakeServer("a", "north", 3);
  old_server.version = "v1";
  auto new_server = MakeServer("b", "north", 1);
  new_server.version = "v2";
  pool.Update({old_server, new_server}, now);
  std::map<std::string, int> sessions;
  for (int n = 0; n < 400; ++n) {
    const auto session = "s" + std::to_string(n);
    const auto version = pool.PreferredVersion(session, now);
    BOOST_TEST(version == pool.PreferredVersion(session, now));
    ++sessions[version];
  }
  BOOST_TEST(sessions["v1"] > 250);
  BOOST_TEST(sessions["v2"] > 50);
  BOOST_TEST(sessions["v1"] + sessions["v2"] == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
