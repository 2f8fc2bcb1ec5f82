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

// Reclaims the budget grants of failed daemons, except for the tokens that the
// lane journals record as used. A grant is first marked as closing. Then the
// owner of every lane proves its ownership and reports the tokens used. Finally
// the grant is replaced by these uses. If the daemon that holds the grant is in
// fact alive, its next write to the record removes the mark; it must make that
// write before it reserves tokens for a lane that it has taken since.
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
  // True when the daemon that holds the grant is considered failed and this
  // daemon is the one to reclaim the grant.
  bool ShouldReclaim(const BudgetGrant& grant) const;
  void ReclaimOnce(Fiber& fiber);
  bool MarkClosing(Fiber& fiber,
                   const KvItem& item,
                   std::vector<GrantName>& marked);
  GrantTally CollectUses(Fiber& fiber, const GrantQuestion& question);
  void CloseReclaimedGrant(Fiber& fiber,
                           const GrantName& name,
                           std::int64_t tokens);

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
