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
  int weight = 1;                       // Of the customer's contract.
  int priority = 0;                     // Higher goes first within a customer.
  std::chrono::nanoseconds cost{};      // Expected time on a slot.
  std::chrono::nanoseconds attained{};  // Service time of its program so far.
  TimePoint arrived;
};

// The queue of waiting calls. Customers share the slots by start-time fair
// queueing (Goyal et al., 1996) with their contract weights. The calls of one
// customer are ordered by age limit, then priority, then least attained service
// of the program, then arrival.
class CallQueue {
 public:
  explicit CallQueue(std::chrono::nanoseconds aging) : aging_(aging) {}

  void Push(QueuedCall call);

  // Removes and returns the first call that `fits`. When none of the first
  // calls of a customer fits, the next customer is tried.
  std::optional<QueuedCall> Take(
      TimePoint now,
      const std::function<bool(const QueuedCall&)>& fits);

  // Removes a call that its caller gave up. Returns false when it is not
  // queued.
  bool Remove(std::uint64_t id);

  // Corrects the charge of a customer once the actual cost of a call is known.
  void Charge(const std::string& customer,
              int weight,
              std::chrono::nanoseconds difference);

  // Sum of the costs of a customer's waiting calls.
  std::chrono::nanoseconds Backlog(const std::string& customer) const;
  // Sum of the weights of all customers with waiting calls.
  int ActiveWeight() const;
  std::size_t size() const { return size_; }

 private:
  struct Customer {
    std::vector<QueuedCall> calls;
    std::chrono::nanoseconds backlog{};
    std::chrono::nanoseconds start{};  // Virtual start time of the next call.
    int weight = 1;
  };
  bool GoesBefore(const QueuedCall& a,
                  const QueuedCall& b,
                  TimePoint now) const;
  // Customers with waiting calls, by virtual start time.
  std::vector<std::string> CustomersInOrder() const;
  QueuedCall Extract(Customer& customer, std::size_t index);

  std::chrono::nanoseconds aging_;
  std::map<std::string, Customer> customers_;
  std::chrono::nanoseconds virtual_time_{};
  std::size_t size_ = 0;
};

}  // namespace comfreyfold

#endif  // CORE_CALL_QUEUE_H_
