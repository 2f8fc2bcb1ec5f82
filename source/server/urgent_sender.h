#ifndef SERVER_URGENT_SENDER_H_
#define SERVER_URGENT_SENDER_H_

#include "backend/tool_client.h"
#include "log/event_log.h"
#include "server/backend_directory.h"
#include "server/contract_store.h"
#include "server/dispatch_queue.h"
#include "wire/codec.h"

namespace comfreyfold {

// Sends urgent messages directly to a server from the daemon that received
// them. They bypass the queues of other calls and are not written to a journal.
class UrgentSender {
 public:
  UrgentSender(ToolClient& tools,
               ContractStore& contracts,
               BackendDirectory& directory,
               DispatchQueue& services,
               EventLog& log)
      : tools_(tools),
        contracts_(contracts),
        directory_(directory),
        services_(services),
        log_(log) {}

  // Sends the message and returns the server's answer. Throws CallError, also
  // when the contract does not declare the service as urgent.
  ToolResult Send(Fiber& fiber, const ForwardedCall& call);

 private:
  std::unique_ptr<ServerSlot> Choose(Fiber& fiber,
                                     const ForwardedCall& call,
                                     const std::set<std::string>& failed);

  ToolClient& tools_;
  ContractStore& contracts_;
  BackendDirectory& directory_;
  DispatchQueue& services_;
  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_URGENT_SENDER_H_
