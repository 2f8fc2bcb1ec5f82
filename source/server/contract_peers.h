#ifndef SERVER_CONTRACT_PEERS_H_
#define SERVER_CONTRACT_PEERS_H_

#include <optional>

#include "core/membership.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/contract_store.h"

namespace comfreyfold {

// Exchanges the contracts in force between daemons, so that a daemon can reload
// them while the key-value service is unavailable. GET /peer/contracts returns
// them as a Thrift body.
class ContractPeers {
 public:
  ContractPeers(HttpClient& http,
                Membership& membership,
                ContractStore& contracts)
      : http_(http), membership_(membership), contracts_(contracts) {}

  // Asks the live peers in turn, the one with the highest announced contract
  // revision first, and returns the first answer. Empty when no peer answers.
  std::optional<ContractSet> Fetch(Fiber& fiber) const;

  // Answers a peer's request. Returns false when the path is not
  // /peer/contracts.
  bool Handle(const HttpRequest& request, HttpExchange& exchange) const;

 private:
  HttpClient& http_;
  Membership& membership_;
  ContractStore& contracts_;
};

}  // namespace comfreyfold

#endif  // SERVER_CONTRACT_PEERS_H_
