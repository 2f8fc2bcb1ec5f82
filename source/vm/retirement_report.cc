#include "vm/retirement_report.h"

#include <chrono>
#include <exception>

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{300};

}  // namespace

RetirementReport::RetirementReport(KvStore& store,
                                   DecisionLog& log,
                                   const RetirementKeys& keys,
                                   const std::string& vm)
    : store_(store),
      log_(log),
      key_(keys.status_prefix + vm),
      running_(keys.encode_status(false)),
      done_(keys.encode_status(true)) {}

// A write whose answer was lost is repeated, and may still arrive after the one
// of End(). It is conditional, so that it changes nothing then.
void RetirementReport::Begin(Fiber& fiber) {
  Write(fiber, "running", [this, &fiber] {
    const auto item = store_.Get(fiber, key_);
    if (item && item->value == running_) {
      return true;
    }
    KvTxn txn;
    txn.compares = {KvCompare::Unchanged(key_, item ? item->mod_revision : 0)};
    txn.puts = {{key_, running_}};
    return store_.Commit(fiber, txn).succeeded;
  });
  begun_ = true;
}

void RetirementReport::End(Fiber& fiber) {
  while (!begun_) {
    fiber.Sleep(kRetryDelay);
  }
  Write(fiber, "empty", [this, &fiber] {
    KvTxn txn;
    txn.puts = {{key_, done_}};
    return store_.Commit(fiber, txn).succeeded;
  });
}

void RetirementReport::Write(Fiber& fiber,
                             const char* outcome,
                             const std::function<bool()>& write) {
  for (;;) {
    try {
      if (write()) {
        log_.Write("retirement", "", {{"outcome", outcome}});
        return;
      }
    } catch (const std::exception& e) {
      log_.Write("retirement_delayed", "", {{"reason", e.what()}});
    }
    fiber.Sleep(kRetryDelay);
  }
}

}  // namespace comfreyfold
