// Merging the events of several daemons, the report of missing events, and the
// event log of a daemon.

#include <boost/test/unit_test.hpp>

#include "log/event_log.h"
#include "tool/timeline.h"

namespace comfreyfold {
namespace {

using nlohmann::json;

constexpr std::int64_t kBoot = 100;

// Returns an event of `daemon` as a log line; `fields` adds or replaces fields.
std::string EventLine(const std::string& daemon,
                      std::int64_t sequence,
                      std::int64_t clock,
                      const std::string& name,
                      const json& fields = json::object()) {
  json out = {{"daemon", daemon}, {"boot", kBoot},  {"sequence", sequence},
              {"clock", clock},   {"event", name},  {"time_us", clock},
              {"program", "p"},   {"customer", "c"}};
  out.update(fields);
  return out.dump() + "\n";
}

// Returns the first line of a daemon's reply, which says that it has the events
// from `first` on, recorded at `clock`, in memory.
std::string WindowLine(const std::string& daemon,
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

EventFilter ProgramFilter(const std::string& name) {
  EventFilter out;
  out.program = name;
  return out;
}

BOOST_AUTO_TEST_SUITE(timeline)

BOOST_AUTO_TEST_CASE(merges_by_clock_without_duplicates) {
  Timeline merged(ProgramFilter("p"));
  const auto first = EventLine("d0", 1, 200, "call_received");
  merged.AddLogFile(first + EventLine("d0", 2, 400, "call_answered"));
  merged.AddDaemonReply(WindowLine("d0", 1, 200) + first);
  merged.AddDaemonReply(WindowLine("d1", 1, 300) +
                        EventLine("d1", 1, 300, "call_queued"));
  const auto events = merged.Events();
  BOOST_REQUIRE(events.size() == 3);
  BOOST_TEST(events[0]["event"] == "call_received");
  BOOST_TEST(events[1]["event"] == "call_queued");
  BOOST_TEST(events[2]["event"] == "call_answered");
  BOOST_TEST(merged.Missing().empty());
}

BOOST_AUTO_TEST_CASE(filters_by_program_lane_and_customer) {
  const auto text = EventLine("d0", 1, 200, "a", {{"lane", 3}}) +
                    EventLine("d0", 2, 300, "b", {{"program", "q"}}) +
                    EventLine("d0", 3, 400, "c", {{"customer", "other"}});
  const auto count = [&text](const EventFilter& filter) {
    Timeline merged(filter);
    merged.AddLogFile(text);
    return merged.Events().size();
  };
  EventFilter lane;
  lane.lane = 3;
  EventFilter customer;
  customer.customer = "other";
  BOOST_TEST(count(ProgramFilter("p")) == 2U);
  BOOST_TEST(count(ProgramFilter("q")) == 1U);
  BOOST_TEST(count(lane) == 1U);
  BOOST_TEST(count(customer) == 1U);
}

BOOST_AUTO_TEST_CASE(a_gap_in_a_log_file_is_reported) {
  Timeline merged(ProgramFilter("p"));
  merged.AddLogFile(EventLine("d0", 1, 200, "a") +
                    EventLine("d0", 4, 300, "b"));
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("events 2 to 3 of d0") == 0U);
}

BOOST_AUTO_TEST_CASE(evicted_events_are_reported_only_if_they_may_match) {
  Timeline older_match(ProgramFilter("p"));
  older_match.AddDaemonReply(WindowLine("d0", 50, 500));
  older_match.AddDaemonReply(WindowLine("d1", 1, 150) +
                             EventLine("d1", 1, 200, "a"));
  BOOST_REQUIRE(older_match.Missing().size() == 1);
  BOOST_TEST(older_match.Missing()[0].find("events 1 to 49 of d0") == 0U);

  Timeline newer_match(ProgramFilter("p"));
  newer_match.AddDaemonReply(WindowLine("d0", 50, 500));
  newer_match.AddDaemonReply(WindowLine("d1", 1, 150) +
                             EventLine("d1", 1, 600, "a"));
  BOOST_TEST(newer_match.Missing().empty());
}

BOOST_AUTO_TEST_CASE(a_log_file_supplies_evicted_events) {
  Timeline merged(ProgramFilter("p"));
  merged.AddLogFile(EventLine("d0", 1, 200, "a") +
                    EventLine("d0", 2, 300, "b"));
  merged.AddDaemonReply(WindowLine("d0", 3, 400) +
                        EventLine("d0", 3, 400, "c"));
  BOOST_TEST(merged.Missing().empty());
  BOOST_TEST(merged.Events().size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_peer_without_events_is_reported) {
  Timeline merged(ProgramFilter("p"));
  merged.AddLogFile(
      EventLine("d0", 1, 200, "call_forwarded", {{"peer", "d7"}}));
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("no events of d7") == 0U);
}

BOOST_AUTO_TEST_CASE(events_from_before_a_restart_are_reported_missing) {
  Timeline merged(ProgramFilter("p"));
  merged.AddLogFile(EventLine("d0", 1, 50, "call_forwarded", {{"peer", "d1"}}));
  merged.AddDaemonReply(WindowLine("d1", 1, 150));
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("before its restart") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unreachable_daemon_is_reported) {
  Timeline merged(ProgramFilter("p"));
  merged.AddUnreachable("127.0.0.1:9");
  BOOST_REQUIRE(merged.Missing().size() == 1);
  BOOST_TEST(merged.Missing()[0].find("127.0.0.1:9") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(memory_for_recent_events_is_bounded) {
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
  BOOST_TEST(log.Recent(ProgramFilter("p499")).find("step") !=
             std::string::npos);
  BOOST_TEST(log.Recent(ProgramFilter("p0")).find("step") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_clock_stamp_far_ahead_is_ignored) {
  EventLog log("d0", "dc-a", "/dev/null");
  constexpr std::chrono::hours kAhead{24};
  const auto before = HybridTime::FromPacked(log.Stamp());
  log.ReceiveStamp(HybridTime(before.wall() + kAhead, 0).packed());
  const auto after = HybridTime::FromPacked(log.Stamp());
  BOOST_TEST((after > before));
  BOOST_TEST((after.wall() < before.wall() + kAhead));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
