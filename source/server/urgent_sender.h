#ifndef SERVER_URGENT_SENDER_H_
#define SERVER_URGENT_SENDER_H_

#include "backend/tool_client.h"
#include "log/event_log.h"
#include "server/backend_directory.h"
#include "server/contract_store.h"
#include "wire/codec.h"

namespace comfreyfold {

// Sends urgent messages straight to a server, ahead of every queue and of
// the journal, from whichever daemon received them.
class UrgentSender {
 public:
  UrgentSender(ToolClient& tools,
               ContractStore& contracts,
               BackendDirectory& directory,
               EventLog& log)
      : tools_(tools),
        contracts_(contracts),
        directory_(directory),
        log_(log) {}

  // Only to services that the contract calls urgent. Throws CallError.
  ToolResult Send(Fiber& fiber, const ForwardedCall& call);

 private:
  ToolClient& tools_;
  ContractStore& contracts_;
  BackendDirectory& directory_;
  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_URGENT_SENDER_H_
