#include "tool/timeline_command.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "net/http_client.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

void PrintLine(const json& event, std::int64_t start) {
  std::cout << std::setw(9) << std::fixed << std::setprecision(3)
            << static_cast<double>(event.value("time_us", 0LL) - start) / 1000
            << " ms  " << std::left << std::setw(8) << event.value("daemon", "")
            << std::setw(6) << event.value("data_centre", "") << std::setw(18)
            << event.value("event", "") << std::right;
  for (const auto* it : {"call", "lane", "epoch", "backend", "detail"}) {
    if (event.contains(it)) {
      std::cout << " " << it << "="
                << (event[it].is_string() ? event[it].get<std::string>()
                                          : event[it].dump());
    }
  }
  std::cout << "\n";
}

int Timeline(CommandContext& context) {
  if (context.arguments.size() != 1) {
    std::cerr << "timeline: name one program\n";
    return kExitUsage;
  }
  HttpClient http(context.fiber.loop());
  std::vector<json> events;
  std::vector<std::string> missing;
  for (const auto& it : context.daemons) {
    try {
      const auto reply =
          http.Send(context.fiber, it, {"GET", "/operator/events"});
      std::istringstream in(reply.body);
      for (std::string line; std::getline(in, line);) {
        auto event = json::parse(line, nullptr, false);
        if (event.is_object() &&
            event.value("program", "") == context.arguments.front()) {
          events.push_back(std::move(event));
        }
      }
    } catch (const HttpFailure& e) {
      missing.push_back(it);
    }
  }
  std::sort(events.begin(), events.end(), [](const json& a, const json& b) {
    return a.value("clock", 0LL) < b.value("clock", 0LL);
  });
  const auto start = events.empty() ? 0 : events.front().value("time_us", 0LL);
  for (const auto& it : events) {
    if (context.json) {
      std::cout << it.dump() << "\n";
    } else {
      PrintLine(it, start);
    }
  }
  for (const auto& it : missing) {
    std::cout << "missing: the events of the daemon at " << it << "\n";
  }
  return missing.empty() ? kExitOk : kExitFailed;
}

}  // namespace

Command TimelineCommand() {
  return {"timeline", "timeline PROGRAM",
          "Merges the events of one program over all daemons, in the order "
          "of their hybrid logical clocks.",
          "comfreyfold --daemons 10.0.0.7:8080,10.0.1.7:8080 timeline "
          "quote-17",
          Timeline};
}

}  // namespace comfreyfold
