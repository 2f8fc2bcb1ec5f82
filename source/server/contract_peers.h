#ifndef SERVER_CONTRACT_PEERS_H_
#define SERVER_CONTRACT_PEERS_H_

#include <optional>

#include "core/membership.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/contract_store.h"

namespace comfreyfold {

// Hands the contracts in force from daemon to daemon (GET /peer/contracts,
// a Thrift body) while the key-value service is out.
class ContractPeers {
 public:
  ContractPeers(HttpClient& http,
                Membership& membership,
                ContractStore& contracts)
      : http_(http), membership_(membership), contracts_(contracts) {}

  // The newest that a live peer has; empty when none answers.
  std::optional<ContractSet> Fetch(Fiber& fiber) const;

  // False when the path is not its own.
  bool Handle(const HttpRequest& request, HttpExchange& exchange) const;

 private:
  HttpClient& http_;
  Membership& membership_;
  ContractStore& contracts_;
};

}  // namespace comfreyfold

#endif  // SERVER_CONTRACT_PEERS_H_
