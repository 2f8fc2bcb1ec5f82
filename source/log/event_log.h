#ifndef LOG_EVENT_LOG_H_
#define LOG_EVENT_LOG_H_

#include <chrono>
#include <cstdint>
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
  int lane = -1;
  std::int64_t epoch = -1;
  std::int64_t call = -1;
  std::string detail;
};

// Writes events as JSON lines through easylogging++, each with the daemon,
// its data centre and a hybrid logical clock.
class EventLog {
 public:
  // `file` empty: standard error.
  EventLog(std::string daemon,
           std::string data_centre,
           const std::string& file);

  void Write(const Event& event);

  // Clock stamps for messages to and from other daemons.
  std::int64_t Stamp();
  void Receive(std::int64_t stamp);

  // The last lines of the log, oldest first, for the time line.
  std::string Recent(std::chrono::microseconds since) const;

  const std::string& daemon() const { return daemon_; }

 private:
  std::string daemon_;
  std::string data_centre_;
  std::string file_;
  HybridClock clock_;
};

}  // namespace comfreyfold

#endif  // LOG_EVENT_LOG_H_
