#ifndef CORE_SETTLEMENT_QUEUE_H_
#define CORE_SETTLEMENT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/time_point.h"
#include "core/token_ledger.h"

namespace comfreyfold {

// Settled token uses that the replicas do not have yet. They are sent together
// with the program's next reservation, or on their own once they are due.
class SettlementQueue {
 public:
  // A use is due `delay` after it was added.
  explicit SettlementQueue(std::chrono::milliseconds delay) : delay_(delay) {}

  // Returns false when the queue is full. The tokens then stay reserved, which
  // is safe.
  bool Add(TokenUse use, TimePoint now);
  std::vector<TokenUse> ForProgram(const std::string& program) const;
  // Removes uses that the replicas have stored.
  void Remove(const std::vector<TokenUse>& stored);
  // Removes the uses that are due and returns them.
  std::vector<TokenUse> TakeDue(TimePoint now);
  std::size_t size() const { return settlements_.size(); }

 private:
  struct Settlement {
    TokenUse use;
    TimePoint due;
  };

  std::chrono::milliseconds delay_;
  std::vector<Settlement> settlements_;
};

}  // namespace comfreyfold

#endif  // CORE_SETTLEMENT_QUEUE_H_
