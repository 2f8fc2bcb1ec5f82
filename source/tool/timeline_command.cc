#include "tool/timeline_command.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "net/http_client.h"
#include "tool/daemon_finder.h"
#include "tool/timeline.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kReplyTimeout{5};

// Prints an event with its time since `start`, in microseconds.
void PrintEvent(const json& event, std::int64_t start) {
  std::cout << std::setw(9) << std::fixed << std::setprecision(3)
            << static_cast<double>(event.value("time_us", 0LL) - start) / 1000
            << " ms  " << std::left << std::setw(8) << event.value("daemon", "")
            << std::setw(6) << event.value("data_centre", "") << std::setw(18)
            << event.value("event", "") << std::right;
  for (const auto* it :
       {"program", "call", "lane", "epoch", "backend", "peer", "detail"}) {
    if (event.contains(it)) {
      std::cout << " " << it << "="
                << (event[it].is_string() ? event[it].get<std::string>()
                                          : event[it].dump());
    }
  }
  std::cout << "\n";
}

std::string EventsTarget(const EventFilter& filter) {
  std::string out = "/operator/events?program=" + filter.program +
                    "&customer=" + filter.customer;
  if (filter.lane) {
    out += "&lane=" + std::to_string(*filter.lane);
  }
  return out;
}

void FetchEvents(CommandContext& context,
                 const EventFilter& filter,
                 Timeline& timeline) {
  HttpClient http(context.fiber.loop());
  HttpOptions options;
  options.idle_timeout = kReplyTimeout;
  for (const auto& it : FindDaemons(context, http)) {
    try {
      const auto reply = http.Send(context.fiber, it.address,
                                   {"GET", EventsTarget(filter)}, options);
      timeline.AddDaemonReply(reply.body);
    } catch (const HttpFailure&) {
      timeline.AddUnreachable(it.label());
    }
  }
}

void AddLogFiles(const std::vector<std::string>& files, Timeline& timeline) {
  for (const auto& it : files) {
    std::ifstream in(it);
    if (!in) {
      throw std::runtime_error(it + ": cannot be opened; check the file name");
    }
    std::ostringstream text;
    text << in.rdbuf();
    timeline.AddLogFile(text.str());
  }
}

void PrintTimeline(const Timeline& timeline, bool as_json) {
  const auto events = timeline.Events();
  const auto start = events.empty() ? 0 : events.front().value("time_us", 0LL);
  for (const auto& it : events) {
    if (as_json) {
      std::cout << it.dump() << "\n";
    } else {
      PrintEvent(it, start);
    }
  }
  for (const auto& it : timeline.Missing()) {
    if (as_json) {
      std::cout << json{{"missing", it}}.dump() << "\n";
    } else {
      std::cout << "missing: " << it << "\n";
    }
  }
}

int RunTimeline(CommandContext& context) {
  EventFilter filter;
  filter.customer = context.customer;
  if (context.lane >= 0) {
    filter.lane = context.lane;
  }
  auto files = context.arguments;
  std::erase(files, "");
  const bool has_lane_or_customer = filter.lane || !filter.customer.empty();
  if (!has_lane_or_customer) {
    if (files.empty()) {
      std::cerr << "timeline: expected a program, --lane or --customer\n";
      return kExitUsage;
    }
    filter.program = files.front();
    files.erase(files.begin());
  }
  Timeline timeline(filter);
  AddLogFiles(files, timeline);
  // Given log files but no address, merges the files without querying a daemon.
  const bool has_address = !context.key_value_address.empty() ||
                           (!context.daemon_addresses.empty() &&
                            !context.daemon_addresses[0].empty());
  if (files.empty() || has_address) {
    FetchEvents(context, filter, timeline);
  }
  PrintTimeline(timeline, context.json);
  return timeline.Missing().empty() ? kExitOk : kExitFailed;
}

}  // namespace

Command TimelineCommand() {
  return {"timeline",
          "timeline [PROGRAM | --lane N | --customer NAME] [LOG-FILE...]",
          "Merges the events of a program, lane or customer from all daemons "
          "and the given log files, in the order of their hybrid logical "
          "clocks. Reports missing events; if there are any, exits with 1.",
          "comfreyfold --kv 10.0.0.5:2379 timeline quote-17", RunTimeline};
}

}  // namespace comfreyfold
