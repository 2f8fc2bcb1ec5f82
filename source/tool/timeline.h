#ifndef TOOL_TIMELINE_H_
#define TOOL_TIMELINE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "log/event_log.h"

namespace comfreyfold {

// Merges the events of several daemons in the order of their hybrid logical
// clocks and reports which events are missing.
class Timeline {
 public:
  explicit Timeline(EventFilter filter);

  // Adds the reply of a daemon: a line that says which events it has in memory,
  // followed by the events that match the filter.
  void AddDaemonReply(const std::string& text);

  // Adds the text of a log file. It is not filtered, so gaps in its sequence
  // numbers are missing events.
  void AddLogFile(const std::string& text);

  // Adds a daemon that did not reply, by its id or address.
  void AddUnreachable(const std::string& daemon);

  // Returns the events that match the filter, oldest first, without duplicates.
  std::vector<nlohmann::json> Events() const;

  // Returns one message for each range of events or daemon that is missing.
  std::vector<std::string> Missing() const;

 private:
  // Identifies one run of a daemon process, by the clock at its start.
  struct RunKey {
    std::string daemon;
    std::int64_t boot = 0;
    auto operator<=>(const RunKey&) const = default;
  };
  struct Run {
    std::set<std::int64_t> file_sequences;
    std::int64_t first_in_memory = 0;        // 0: no reply from this run.
    std::int64_t first_clock_in_memory = 0;  // Of the oldest event in memory.
  };

  void AddEvent(const nlohmann::json& event, bool from_file);
  bool Matches(const nlohmann::json& event) const;
  // Returns the clock of the first event that matches the filter.
  std::int64_t FirstMatchClock() const;
  // Appends a message for each range of sequence numbers of a run that neither
  // its log file nor its memory holds.
  void FindGaps(const RunKey& key,
                const Run& run,
                std::vector<std::string>& out) const;
  // Appends a message for each daemon that an event names as its peer and of
  // which no events from that time were added.
  void FindMissingDaemons(std::vector<std::string>& out) const;

  EventFilter filter_;
  std::map<RunKey, Run> runs_;
  // Keyed by run and sequence number, so that an event that is both in a log
  // file and in a reply is kept once.
  std::map<std::pair<RunKey, std::int64_t>, nlohmann::json> events_;
  std::vector<std::string> unreachable_;
};

}  // namespace comfreyfold

#endif  // TOOL_TIMELINE_H_
