#ifndef STANDINS_FAULTS_H_
#define STANDINS_FAULTS_H_

#include <chrono>
#include <map>
#include <string>

#include "net/http_server.h"

namespace comfreyfold::standins {

// Faults that tests inject into a stand-in. Each is set by
//   POST /fault {"name": "...", "count": N, "delay_ms": M}
// and affects the next N requests that reach the point where it applies (-1:
// all until it is set to 0). A stand-in implements those that suit it:
//   out          the connection is closed and the request not processed
//   slow         processing of the request starts after M ms
//   lost_answer  the request takes effect, then the connection is closed
//                without an answer
//   hang         the request takes effect and is answered after M ms
//   late         the answer starts after M ms, so that answers to later
//                requests overtake it
//   cut          the connection is closed after one event of a stream
//   refuse       the request is answered with 503 and not run
//   late KEY     (key-value service) a transaction whose first write is to KEY
//                takes effect and is answered after M ms
class Faults {
 public:
  struct Fault {
    int count = 0;
    std::chrono::milliseconds delay{};
  };

  // Handles POST /fault; returns false for any other path.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

  // Applies `out` and `slow`; returns false if the connection was closed.
  bool ApplyBeforeRequest(Fiber& fiber, HttpExchange& exchange);

  // Returns whether fault `name` is active, and if so uses up one of its count.
  bool Trigger(const std::string& name);
  std::chrono::milliseconds Delay(const std::string& name) const;
  // Sets a fault like POST /fault, for tests that run the stand-in in their own
  // process.
  void Set(const std::string& name,
           int count,
           std::chrono::milliseconds delay = {}) {
    faults_[name] = {count, delay};
  }

  // Returns how often each fault was triggered.
  const std::map<std::string, int>& triggered() const { return triggered_; }

 private:
  std::map<std::string, Fault> faults_;
  std::map<std::string, int> triggered_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_FAULTS_H_
