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

// One line of the log. Empty text and negative numbers are left out. No
// field ever carries a secret or the text of a message.
struct Event {
  std::string name;
  std::string customer;
  std::string program;
  std::string key;
  std::string backend;
  std::string peer;  // Another daemon that takes part in the step.
  int lane = -1;
  std::int64_t epoch = -1;
  std::int64_t call = -1;
  std::string detail;
};

// Which events a question is about; what is empty does not narrow it.
struct EventFilter {
  std::string program;
  std::string customer;
  std::optional<int> lane;
  std::chrono::microseconds since{};
};

// Writes events as JSON lines through easylogging++, each with the daemon,
// its data centre, a hybrid logical clock and a sequence number, and keeps
// the last of them in memory for the time line.
class EventLog {
 public:
  // Memory for recent events when the settings say nothing else.
  static constexpr std::size_t kRecentBytes = 8UL * 1024 * 1024;

  // `file` empty: standard output.
  EventLog(std::string daemon,
           std::string data_centre,
           const std::string& file,
           std::size_t recent_bytes = kRecentBytes);

  void Write(const Event& event);

  // Called after each event is written.
  void OnWrite(std::function<void(const Event&)> hook);

  // Clock stamps for messages to and from other daemons.
  std::int64_t Stamp();
  void ReceiveStamp(std::int64_t stamp);

  // The events in memory that pass `filter`, oldest first, after one line
  // that says which part of the log is in memory.
  std::string Recent(const EventFilter& filter) const;

  const std::string& daemon() const { return daemon_; }

 private:
  struct Stored {
    std::int64_t sequence = 0;
    std::int64_t clock = 0;
    std::chrono::microseconds time{};
    std::string program;
    std::string customer;
    int lane = -1;
    std::string line;

    std::size_t bytes() const;
    bool Passes(const EventFilter& filter) const;
  };

  void Keep(Stored event);
  std::string Window() const;

  std::string daemon_;
  std::string data_centre_;
  std::size_t recent_bytes_;
  HybridClock clock_;
  std::int64_t boot_ = 0;
  std::int64_t sequence_ = 0;
  std::deque<Stored> recent_;
  std::size_t stored_bytes_ = 0;
  std::function<void(const Event&)> on_write_;
};

}  // namespace comfreyfold

#endif  // LOG_EVENT_LOG_H_
