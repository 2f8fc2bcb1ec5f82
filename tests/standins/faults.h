#ifndef STANDINS_FAULTS_H_
#define STANDINS_FAULTS_H_

#include <chrono>
#include <map>
#include <string>

#include "net/http_server.h"

namespace comfreyfold::standins {

// Faults that a stand-in shows on request. Each is set by
//   POST /fault {"name": "...", "count": N, "delay_ms": M}
// and holds for the next N requests that ask for it (-1: until set to 0).
//   out          the request is dropped, connection closed, nothing done
//   slow         the request waits M ms first
//   lost_answer  the request takes effect, then the connection is closed
//   hang         the request takes effect, then no answer comes for M ms
//   late         the answer begins only after M ms; later ones overtake it
//   cut          a stream is cut after its first piece
//   refuse       answered 503 and not run
//   late KEY     (key-value service) a transaction that writes KEY first
//                takes effect and is answered after M ms
class Faults {
 public:
  struct Fault {
    int count = 0;
    std::chrono::milliseconds delay{};
  };

  // Takes POST /fault; false when the request is another.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

  // Shows `out` and `slow`. False when the request was dropped.
  bool Pass(Fiber& fiber, HttpExchange& exchange);

  // True if `name` is due now; uses up one of its count.
  bool Due(const std::string& name);
  std::chrono::milliseconds Delay(const std::string& name) const;
  // The same as POST /fault, for tests in one process.
  void Set(const std::string& name,
           int count,
           std::chrono::milliseconds delay = {}) {
    faults_[name] = {count, delay};
  }

  // Times each fault was shown.
  const std::map<std::string, int>& shown() const { return shown_; }

 private:
  std::map<std::string, Fault> faults_;
  std::map<std::string, int> shown_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_FAULTS_H_
