#include "server/contract_peers.h"

#include <algorithm>
#include <vector>

#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kPeerTimeout{500};

}  // namespace

std::optional<ContractSet> ContractPeers::Fetch(Fiber& fiber) const {
  std::vector<Heartbeat> peers;
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [daemon, heartbeat] : membership_.peers()) {
    if (membership_.IsLive(daemon, now)) {
      peers.push_back(heartbeat);
    }
  }
  std::sort(peers.begin(), peers.end(),
            [](const Heartbeat& a, const Heartbeat& b) {
              return a.contracts_revision > b.contracts_revision;
            });
  HttpOptions options;
  options.connect_timeout = kPeerTimeout;
  options.idle_timeout = kPeerTimeout;
  for (const auto& it : peers) {
    try {
      const auto reply = http_.Send(fiber, it.address,
                                    {"GET", kContractsPath, {}, {}}, options);
      if (reply.status == 200) {
        return DecodeContractSet(reply.body);
      }
    } catch (const std::runtime_error&) {
      // Try the next peer.
    }
  }
  return std::nullopt;
}

bool ContractPeers::Handle(const HttpRequest& request,
                           HttpExchange& exchange) const {
  if (request.Path() != kContractsPath) {
    return false;
  }
  // A daemon whose own contracts may be outdated must not confirm them to a
  // peer.
  if (contracts_.current()) {
    exchange.Reply(200, kThriftType, Encode(contracts_.set()));
  } else {
    exchange.Reply(503, "text/plain", "contracts not current; ask another\n");
  }
  return true;
}

}  // namespace comfreyfold
