#ifndef CORE_SETTLEMENT_QUEUE_H_
#define CORE_SETTLEMENT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/time_point.h"
#include "core/token_ledger.h"

namespace comfreyfold {

// What requests used of their programs' budgets and replicas do not know yet.
// It goes along with the program's next reservation, or by itself when due.
class SettlementQueue {
 public:
  explicit SettlementQueue(std::chrono::milliseconds wait) : wait_(wait) {}

  // False when the queue is full: the tokens stay reserved, which is safe.
  bool Add(TokenUse use, TimePoint now);
  std::vector<TokenUse> ForProgram(const std::string& program) const;
  // Replicas know these now.
  void Remove(const std::vector<TokenUse>& told);
  std::vector<TokenUse> TakeDue(TimePoint now);
  std::size_t size() const { return settlements_.size(); }

 private:
  struct Settlement {
    TokenUse use;
    TimePoint due;
  };

  std::chrono::milliseconds wait_;
  std::vector<Settlement> settlements_;
};

}  // namespace comfreyfold

#endif  // CORE_SETTLEMENT_QUEUE_H_
