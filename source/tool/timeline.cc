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

std::string Range(std::int64_t first, std::int64_t last) {
  return std::to_string(first) + " to " + std::to_string(last);
}

}  // namespace

Timeline::Timeline(EventFilter filter) : filter_(std::move(filter)) {}

bool Timeline::Passes(const json& event) const {
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
  if (Passes(event)) {
    events_[{key, sequence}] = event;
  }
}

void Timeline::AddAnswer(const std::string& text) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    const auto event = ParseLine(line);
    if (event.is_object() && event.contains("window")) {
      auto& run = runs_[{event.value("window", ""), event.value("boot", 0LL)}];
      run.memory_first = event.value("first_sequence", 1LL);
      run.memory_clock = event.value("first_clock", 0LL);
    } else {
      AddEvent(event, false);
    }
  }
}

void Timeline::AddFile(const std::string& text) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    AddEvent(ParseLine(line), true);
  }
}

void Timeline::AddSilent(const std::string& address) {
  silent_.push_back(address);
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

std::int64_t Timeline::StoryStart() const {
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
    if (sequence > next && (run.memory_first == 0 || next < run.memory_first)) {
      out.push_back("events " + Range(next, sequence - 1) + " of " +
                    key.daemon +
                    " are not in its log file; look for an earlier file");
    }
    next = sequence + 1;
  }
  // What left the daemon's memory matters only if it may belong to the
  // story: when another daemon tells of an earlier moment.
  const bool in_file = run.memory_first <= next;
  if (run.memory_first > 1 && !in_file && StoryStart() < run.memory_clock) {
    out.push_back("events " + Range(next, run.memory_first - 1) + " of " +
                  key.daemon +
                  " are no longer in its memory; name its log file as well");
  }
}

void Timeline::FindAbsent(std::vector<std::string>& out) const {
  // The first run of each daemon that was heard of here.
  std::map<std::string, std::int64_t> first_boot;
  for (const auto& [key, run] : runs_) {
    first_boot.emplace(key.daemon, key.boot);
  }
  std::set<std::string> told;
  for (const auto& [key, event] : events_) {
    const auto peer = event.value("peer", "");
    if (peer.empty() || told.contains(peer)) {
      continue;
    }
    const auto it = first_boot.find(peer);
    if (it == first_boot.end()) {
      out.push_back("no events of " + peer + ", which " + key.first.daemon +
                    " names; ask it, or name its log file");
      told.insert(peer);
    } else if (event.value("clock", 0LL) < it->second) {
      out.push_back("the events of " + peer +
                    " before its restart; name its log file as well");
      told.insert(peer);
    }
  }
}

std::vector<std::string> Timeline::Missing() const {
  std::vector<std::string> out;
  for (const auto& it : silent_) {
    out.push_back("the daemon at " + it + " does not answer");
  }
  for (const auto& [key, run] : runs_) {
    FindGaps(key, run, out);
  }
  FindAbsent(out);
  return out;
}

}  // namespace comfreyfold
