#ifndef VM_RETIREMENT_REPORT_H_
#define VM_RETIREMENT_REPORT_H_

#include <functional>
#include <string>

#include "clients/kv_store.h"
#include "fleet/decision_log.h"
#include "net/loop.h"

namespace comfreyfold {

// Keys under which operators request the retirement of VMs, that is, to have
// their disks emptied, and under which the daemons report its progress.
struct RetirementKeys {
  std::string request_prefix;  // Followed by the VM's name.
  std::string status_prefix;   // Followed by the VM's name.
  std::function<std::string(bool done)> encode_status;
};

// Writes the progress of a VM's retirement to the store. Operators wait for it,
// so that each write is repeated until the store has it.
class RetirementReport {
 public:
  RetirementReport(KvStore& store,
                   DecisionLog& log,
                   const RetirementKeys& keys,
                   const std::string& vm);

  // Writes that the retirement runs.
  void Begin(Fiber& fiber);
  // Writes that it is done, after Begin() has ended.
  void End(Fiber& fiber);

 private:
  // Calls `write` until it returns true.
  void Write(Fiber& fiber,
             const char* outcome,
             const std::function<bool()>& write);

  KvStore& store_;
  DecisionLog& log_;
  std::string key_;
  std::string running_;
  std::string done_;
  bool begun_ = false;
};

}  // namespace comfreyfold

#endif  // VM_RETIREMENT_REPORT_H_
