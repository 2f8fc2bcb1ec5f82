#ifndef LOG_EVENT_LOG_H_
#define LOG_EVENT_LOG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "core/hybrid_clock.h"

namespace comfreyfold {

// One line of the event log. Empty strings and negative numbers are omitted.
// No field may contain a secret or the text of a message.
struct Event {
  std::string name;
  std::string customer;
  std::string program;
  std::string key;
  std::string backend;
  std::string peer;  // The other daemon involved in the event.
  int lane = -1;
  std::int64_t epoch = -1;
  std::int64_t call = -1;
  std::string detail;
};

// Selects events; an empty field matches every event.
struct EventFilter {
  std::string program;
  std::string customer;
  std::optional<int> lane;
  std::chrono::microseconds since{};
};

// Writes events as JSON lines through easylogging++. Each line also carries the
// daemon, its data centre, a hybrid logical clock stamp and a sequence number.
// The most recent events are kept in memory, where operators can query them.
class EventLog {
 public:
  // Default limit on the memory for recent events.
  static constexpr std::size_t kRecentBytes = 8UL * 1024 * 1024;

  // Writes to standard output if `file` is empty.
  EventLog(std::string daemon,
           std::string data_centre,
           const std::string& file,
           std::size_t recent_bytes = kRecentBytes);

  void Write(const Event& event);

  // Sets the hook that is called after each event is written.
  void OnWrite(std::function<void(const Event&)> hook);

  // Returns a clock stamp for a message to another daemon.
  std::int64_t Stamp();
  // Merges the clock stamp of a message from another daemon.
  void ReceiveStamp(std::int64_t stamp);

  // Returns the events in memory that match `filter`, oldest first, after one
  // line that tells which part of the log is in memory.
  std::string Recent(const EventFilter& filter) const;

  const std::string& daemon() const { return daemon_; }

 private:
  struct StoredEvent {
    std::int64_t sequence = 0;
    std::int64_t clock = 0;
    std::chrono::microseconds time{};
    std::string program;
    std::string customer;
    int lane = -1;
    std::string line;

    std::size_t bytes() const;
    bool Matches(const EventFilter& filter) const;
  };

  void StoreRecent(StoredEvent event);
  std::string WindowLine() const;

  std::string daemon_;
  std::string data_centre_;
  std::size_t max_recent_bytes_;
  HybridClock clock_;
  std::int64_t boot_ = 0;
  std::int64_t sequence_ = 0;
  std::deque<StoredEvent> recent_;
  std::size_t recent_bytes_ = 0;
  std::function<void(const Event&)> on_write_;
};

}  // namespace comfreyfold

#endif  // LOG_EVENT_LOG_H_
