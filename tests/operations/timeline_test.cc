// The merge of many daemons' events, and what it says is missing.

#include <boost/test/unit_test.hpp>

#include "log/event_log.h"
#include "tool/timeline.h"

namespace comfreyfold {
namespace {

using nlohmann::json;

constexpr std::int64_t kBoot = 100;

std::string Line(const std::string& daemon,
                 std::int64_t sequence,
                 std::int64_t clock,
                 const std::string& name,
                 const json& more = json::object()) {
  json out = {{"daemon", daemon}, {"boot", kBoot},  {"sequence", sequence},
              {"clock", clock},   {"event", name},  {"time_us", clock},
              {"program", "p"},   {"customer", "c"}};
  out.update(more);
  return out.dump() + "\n";
}

std::string Window(const std::string& daemon,
                   std::int64_t first,
                   std::int64_t clock) {
  return json{{"window", daemon},
              {"boot", kBoot},
              {"first_sequence", first},
              {"last_sequence", first + 10},
              {"first_clock", clock}}
             .dump() +
         "\n";
}

EventFilter Program(const std::string& name) {
  EventFilter out;
  out.program = name;
  return out;
}

BOOST_AUTO_TEST_SUITE(timeline)

BOOST_AUTO_TEST_CASE(merges_by_clock_and_drops_doubles) {
  Timeline merged(Program("p"));
  const auto first = Line("d0", 1, 200, "call_received");
  merged.AddLogFile(first + Line("d0", 2, 400, "call_answered"));
  merged.AddDaemonReply(Window("d0", 1, 200) + first);
  merged.AddDaemonReply(Window("d1", 1, 300) +
                        Line("d1", 1, 300, "call_queued"));
  const auto events = merged.Events();
  BOOST_REQUIRE(events.size() == 3);
  BOOST_TEST(events[0]["event"] == "call_received");
  BOOST_TEST(events[1]["event"] == "call_queued");
  BOOST_TEST(events[2]["event"] == "call_answered");
  BOOST_TEST(merged.Missing().empty());
}

BOOST_AUTO_TEST_CASE(narrows_by_program_lane_and_customer) {
  const auto text = Line("d0", 1, 200, "a", {{"lane", 3}}) +
                    Line("d0", 2, 300, "b", {{"program", "q"}}) +
                    Line("d0", 3, 400, "c", {{"customer", "other"}});
  const auto count = [&text](const EventFilter& filter) {
    Timeline merged(filter);
    merged.AddLogFile(text);
    return merged.Events().size();
  };
  EventFilter lane;
  lane.lane = 3;
  EventFilter customer;
  customer.customer = "other";
  BOOST_TEST(count(Program("p")) == 2U);
  BOOST_TEST(count(Program("q")) == 1U);
  BOOST_TEST(count(lane) == 1U);
  BOOST_TEST(count(customer) == 1U);
}

BOOST_AUTO_TEST_CASE(a_gap_in_a_file_is_told) {
  Timeline merged(Program("p"));
  merged.AddLogFile(Line("d0", 1, 200, "a") + Line("d0", 4, 300, "b"));
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("events 2 to 3 of d0") == 0U);
}

BOOST_AUTO_TEST_CASE(what_left_memory_is_told_only_if_it_may_matter) {
  Timeline early(Program("p"));
  early.AddDaemonReply(Window("d0", 50, 500));
  early.AddDaemonReply(Window("d1", 1, 150) + Line("d1", 1, 200, "a"));
  BOOST_REQUIRE(early.Missing().size() == 1);
  BOOST_TEST(early.Missing()[0].find("events 1 to 49 of d0") == 0U);

  Timeline late(Program("p"));
  late.AddDaemonReply(Window("d0", 50, 500));
  late.AddDaemonReply(Window("d1", 1, 150) + Line("d1", 1, 600, "a"));
  BOOST_TEST(late.Missing().empty());
}

BOOST_AUTO_TEST_CASE(a_file_fills_what_left_memory) {
  Timeline merged(Program("p"));
  merged.AddLogFile(Line("d0", 1, 200, "a") + Line("d0", 2, 300, "b"));
  merged.AddDaemonReply(Window("d0", 3, 400) + Line("d0", 3, 400, "c"));
  BOOST_TEST(merged.Missing().empty());
  BOOST_TEST(merged.Events().size() == 3U);
}

BOOST_AUTO_TEST_CASE(daemons_known_from_others_are_told) {
  Timeline merged(Program("p"));
  merged.AddLogFile(Line("d0", 1, 200, "call_forwarded", {{"peer", "d7"}}));
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("no events of d7") == 0U);
}

BOOST_AUTO_TEST_CASE(a_restart_hides_what_came_before) {
  Timeline merged(Program("p"));
  merged.AddLogFile(Line("d0", 1, 50, "call_forwarded", {{"peer", "d1"}}));
  merged.AddDaemonReply(Window("d1", 1, 150));
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("before its restart") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_silent_daemon_is_told) {
  Timeline merged(Program("p"));
  merged.AddUnreachable("127.0.0.1:9");
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("127.0.0.1:9") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(memory_for_events_is_bounded) {
  constexpr std::size_t kBytes = 10000;
  constexpr int kEvents = 500;
  EventLog log("d0", "dc-a", "/dev/null", kBytes);
  for (int i = 0; i < kEvents; ++i) {
    log.Write({.name = "step", .program = "p" + std::to_string(i)});
  }
  const auto text = log.Recent({});
  BOOST_TEST(text.size() < 2 * kBytes);
  const auto window = json::parse(text.substr(0, text.find('\n')));
  BOOST_TEST(window["last_sequence"].get<int>() == kEvents);
  BOOST_TEST(window["first_sequence"].get<int>() > 1);
  BOOST_TEST(text.find("\"p499\"") != std::string::npos);
  BOOST_TEST(log.Recent(Program("p499")).find("step") != std::string::npos);
  BOOST_TEST(log.Recent(Program("p0")).find("step") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_stamp_far_ahead_is_not_taken) {
  EventLog log("d0", "dc-a", "/dev/null");
  constexpr std::chrono::hours kAhead{24};
  const auto before = HybridTime::FromPacked(log.Stamp());
  log.Receive(HybridTime(before.wall() + kAhead, 0).packed());
  const auto after = HybridTime::FromPacked(log.Stamp());
  BOOST_TEST((after > before));
  BOOST_TEST((after.wall() < before.wall() + kAhead));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
