#include "tool/timeline.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace comfreyfold {

namespace {

using nlohmann::json;

json ParseLine(const std::string& line) {
  return json::parse(line, nullptr, false);
}

std::string FormatRange(std::int64_t first, std::int64_t last) {
  return std::to_string(first) + " to " + std::to_string(last);
}

}  // namespace

Timeline::Timeline(EventFilter filter) : filter_(std::move(filter)) {}

bool Timeline::Matches(const json& event) const {
  return event.value("time_us", 0LL) >= filter_.since.count() &&
         (filter_.program.empty() ||
          event.value("program", "") == filter_.program) &&
         (filter_.customer.empty() ||
          event.value("customer", "") == filter_.customer) &&
         (!filter_.lane || event.value("lane", -1) == *filter_.lane);
}

void Timeline::AddEvent(const json& event, bool from_file) {
  if (!event.is_object() || !event.contains("daemon")) {
    return;
  }
  const RunKey key{event.value("daemon", ""), event.value("boot", 0LL)};
  const auto sequence = event.value("sequence", 0LL);
  auto& run = runs_[key];
  if (from_file) {
    run.file_sequences.insert(sequence);
  }
  if (Matches(event)) {
    events_[{key, sequence}] = event;
  }
}

void Timeline::AddDaemonReply(const std::string& text) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    const auto event = ParseLine(line);
    if (event.is_object() && event.contains("window")) {
      auto& run = runs_[{event.value("window", ""), event.value("boot", 0LL)}];
      run.first_in_memory = event.value("first_sequence", 1LL);
      run.first_clock_in_memory = event.value("first_clock", 0LL);
    } else {
      AddEvent(event, false);
    }
  }
}

void Timeline::AddLogFile(const std::string& text) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    AddEvent(ParseLine(line), true);
  }
}

void Timeline::AddUnreachable(const std::string& daemon) {
  unreachable_.push_back(daemon);
}

std::vector<json> Timeline::Events() const {
  std::vector<json> out;
  for (const auto& [key, event] : events_) {
    out.push_back(event);
  }
  std::stable_sort(out.begin(), out.end(), [](const json& a, const json& b) {
    return a.value("clock", 0LL) < b.value("clock", 0LL);
  });
  return out;
}

std::int64_t Timeline::FirstMatchClock() const {
  std::int64_t out = INT64_MAX;
  for (const auto& [key, event] : events_) {
    out = std::min(out, event.value("clock", INT64_MAX));
  }
  return out;
}

void Timeline::FindGaps(const RunKey& key,
                        const Run& run,
                        std::vector<std::string>& out) const {
  std::int64_t next = 1;
  for (const auto sequence : run.file_sequences) {
    if (sequence > next &&
        (run.first_in_memory == 0 || next < run.first_in_memory)) {
      out.push_back(
          "events " + FormatRange(next, sequence - 1) + " of " + key.daemon +
          " are not in its log file; give the earlier log file as well");
    }
    next = sequence + 1;
  }
  // Events that the daemon no longer has in memory are reported only if they
  // may match the filter, which is when a matching event of any daemon is older
  // than the oldest one in memory.
  const bool covered_by_file = run.first_in_memory <= next;
  if (run.first_in_memory > 1 && !covered_by_file &&
      FirstMatchClock() < run.first_clock_in_memory) {
    out.push_back("events " + FormatRange(next, run.first_in_memory - 1) +
                  " of " + key.daemon +
                  " are no longer in its memory; give its log file as well");
  }
}

void Timeline::FindMissingDaemons(std::vector<std::string>& out) const {
  // The start of the earliest known run of each daemon. Runs are ordered by
  // daemon and start, so the first one inserted is the earliest.
  std::map<std::string, std::int64_t> first_boot;
  for (const auto& [key, run] : runs_) {
    first_boot.emplace(key.daemon, key.boot);
  }
  std::set<std::string> reported;
  for (const auto& [key, event] : events_) {
    const auto peer = event.value("peer", "");
    if (peer.empty() || reported.contains(peer)) {
      continue;
    }
    const auto it = first_boot.find(peer);
    if (it == first_boot.end()) {
      out.push_back("no events of " + peer + ", which " + key.first.daemon +
                    " names as a peer; query it too, or give its log file");
      reported.insert(peer);
    } else if (event.value("clock", 0LL) < it->second) {
      out.push_back("events of " + peer +
                    " from before its restart; give its log file as well");
      reported.insert(peer);
    }
  }
}

std::vector<std::string> Timeline::Missing() const {
  std::vector<std::string> out;
  for (const auto& it : unreachable_) {
    out.push_back("daemon " + it + " does not answer");
  }
  for (const auto& [key, run] : runs_) {
    FindGaps(key, run, out);
  }
  FindMissingDaemons(out);
  return out;
}

}  // namespace comfreyfold
