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

// Merges the events of many daemons in the order of their hybrid logical
// clocks and tells which daemon's part is missing.
class Timeline {
 public:
  explicit Timeline(EventFilter filter);

  // What a daemon answered: the line about its memory, then events.
  void AddAnswer(const std::string& text);

  // The text of a log file, every event of its daemon.
  void AddFile(const std::string& text);

  // A daemon that did not answer.
  void AddSilent(const std::string& address);

  // The events that pass the filter, oldest first, each once.
  std::vector<nlohmann::json> Events() const;

  // One sentence for each part that is missing.
  std::vector<std::string> Missing() const;

 private:
  // One run of a daemon, from its start to its end.
  struct RunKey {
    std::string daemon;
    std::int64_t boot = 0;
    auto operator<=>(const RunKey&) const = default;
  };
  struct Run {
    std::set<std::int64_t> file_sequences;
    std::int64_t memory_first = 0;  // 0: no answer from the daemon itself.
    std::int64_t memory_clock = 0;  // Of its oldest event in memory.
  };

  void AddEvent(const nlohmann::json& event, bool from_file);
  bool Passes(const nlohmann::json& event) const;
  std::int64_t StoryStart() const;
  void FindGaps(const RunKey& key,
                const Run& run,
                std::vector<std::string>& out) const;
  void FindAbsent(std::vector<std::string>& out) const;

  EventFilter filter_;
  std::map<RunKey, Run> runs_;
  // Events by daemon run and sequence: a file and an answer may overlap.
  std::map<std::pair<RunKey, std::int64_t>, nlohmann::json> events_;
  std::vector<std::string> silent_;
};

}  // namespace comfreyfold

#endif  // TOOL_TIMELINE_H_
