#ifndef CORE_CALL_QUEUE_H_
#define CORE_CALL_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time_point.h"

namespace comfreyfold {

// A call that waits for a server.
struct QueuedCall {
  std::uint64_t id = 0;
  std::string customer;
  int weight = 1;                   // Of the customer's contract.
  int priority = 0;                 // Higher goes first inside the customer.
  std::chrono::nanoseconds cost{};  // Expected time on a slot.
  std::chrono::nanoseconds attained{};  // By the whole program so far.
  TimePoint arrived;
};

// The calls that wait: between customers start-time fair queueing (Goyal et
// al., 1996) by contract weight; inside a customer aged calls, then
// priority, then the program that was served least, then arrival.
class CallQueue {
 public:
  explicit CallQueue(std::chrono::nanoseconds aging) : aging_(aging) {}

  void Push(QueuedCall call);

  // Takes the first call in order that `fits`; a customer whose first calls
  // do not fit leaves its turn to the next.
  std::optional<QueuedCall> Take(
      TimePoint now,
      const std::function<bool(const QueuedCall&)>& fits);

  // The caller went away. False when the call is not waiting.
  bool Remove(std::uint64_t id);

  // Corrects what a customer was charged once a call's true cost is known.
  void Charge(const std::string& customer,
              int weight,
              std::chrono::nanoseconds difference);

  std::chrono::nanoseconds Backlog(const std::string& customer) const;
  // Contract weights of all customers that have calls waiting.
  int ActiveWeight() const;
  std::size_t size() const { return size_; }

 private:
  struct Customer {
    std::vector<QueuedCall> calls;
    std::chrono::nanoseconds backlog{};
    std::chrono::nanoseconds start{};  // Virtual time of the next call.
    int weight = 1;
  };
  bool Before(const QueuedCall& a, const QueuedCall& b, TimePoint now) const;
  std::vector<std::string> Order() const;
  QueuedCall Extract(Customer& customer, std::size_t index);

  std::chrono::nanoseconds aging_;
  std::map<std::string, Customer> customers_;
  std::chrono::nanoseconds virtual_time_{};
  std::size_t size_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_CALL_QUEUE_H_
