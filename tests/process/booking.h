#ifndef PROCESS_BOOKING_H_
#define PROCESS_BOOKING_H_

#include <memory>
#include <string>

#include "harness/caller.h"
#include "harness/cluster.h"

namespace comfreyfold::process {

// One non-idempotent call, as a caller makes it who does not give up: it
// starts at one daemon, and is settled by retries through the others.
class Booking {
 public:
  Booking(harness::Cluster& cluster, std::string program, std::string key);

  // Sends the call through `daemon` in a coroutine of its own.
  void Start(int daemon);
  // Waits for the end of what Start sent; status 0 when the connection
  // broke and the caller knows nothing.
  const harness::CallAnswer& Wait();
  // Asks again with the same key through the daemons that run, `first`
  // before the others, until the answer is final: done, or may have run.
  harness::CallAnswer Settle(int first);
  // One more try through `daemon`.
  harness::CallAnswer Try(int daemon);

  // Runs of this call that the tool servers which answer saw.
  std::size_t Runs() const;
  bool ended() const { return shared_->ended; }
  const std::string& program() const { return program_; }

 private:
  struct Shared {
    bool ended = false;
    harness::CallAnswer answer;
  };

  harness::Cluster& cluster_;
  std::string program_;
  std::string key_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

}  // namespace comfreyfold::process

#endif  // PROCESS_BOOKING_H_
