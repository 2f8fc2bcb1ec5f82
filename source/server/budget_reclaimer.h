#ifndef SERVER_BUDGET_RECLAIMER_H_
#define SERVER_BUDGET_RECLAIMER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "clients/kv_client.h"
#include "core/budget_record.h"
#include "core/grant_use.h"
#include "core/membership.h"
#include "log/event_log.h"
#include "net/http_client.h"
#include "server/grant_use_reporter.h"

namespace comfreyfold {

// Gives back what dead daemons held of the budgets, as far as the journals
// prove that it was not used. A grant is first marked as closing; then every
// lane's owner proves its ownership and tells the uses; then the grant is
// replaced by them. A holder that lives after all takes the mark off with
// its next write, which it must make before it reserves for a lane that it
// has taken since.
class BudgetReclaimer {
 public:
  BudgetReclaimer(Loop& loop,
                  HttpClient& http,
                  KvClient& kv,
                  Membership& membership,
                  GrantUseReporter& grant_use_reporter,
                  EventLog& log,
                  std::string run,
                  int lanes);

  void Start();

 private:
  // True when the grant's holder is held for dead and this daemon should
  // see to it.
  bool IsDue(const BudgetGrant& grant) const;
  void ReclaimOnce(Fiber& fiber);
  bool Mark(Fiber& fiber, const KvItem& item, std::vector<GrantName>& marked);
  GrantTally Ask(Fiber& fiber, const GrantQuestion& question);
  void Release(Fiber& fiber, const GrantName& name, std::int64_t tokens);

  Loop& loop_;
  HttpClient& http_;
  KvClient& kv_;
  Membership& membership_;
  GrantUseReporter& grant_use_reporter_;
  EventLog& log_;
  std::string run_;
  int lanes_;
};

}  // namespace comfreyfold

#endif  // SERVER_BUDGET_RECLAIMER_H_
