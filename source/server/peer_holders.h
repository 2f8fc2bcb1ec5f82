#ifndef SERVER_PEER_HOLDERS_H_
#define SERVER_PEER_HOLDERS_H_

#include <string>

#include "clients/kv_client.h"
#include "core/membership.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/block_spool.h"
#include "server/holder_client.h"

namespace comfreyfold {

// Client and server of the spool protocol (Thrift bodies over HTTP): sends
// requests to the spools of other daemons and answers requests for this
// daemon's own spool.
class PeerHolders : public HolderClient {
 public:
  // `spool` is null when this daemon has none.
  PeerHolders(HttpClient& http,
              KvClient& kv,
              const Membership& membership,
              BlockSpool* spool,
              EventLog& log);

  std::vector<SpoolHolder> Choose(int lane) override;
  bool IsAvailable(const SpoolHolder& holder) override;
  bool MayReturn(Fiber& fiber, const SpoolHolder& holder) override;
  SpoolStatus Store(Fiber& fiber,
                    const SpoolHolder& holder,
                    int lane,
                    const LaneBlock& block) override;
  SealAnswer Seal(Fiber& fiber,
                  const SpoolHolder& holder,
                  int lane,
                  std::int64_t epoch,
                  std::int64_t number) override;
  SpoolStatus Forget(Fiber& fiber,
                     const SpoolHolder& holder,
                     int lane,
                     std::int64_t number) override;

  // Number of blocks of other daemons' lanes that are on this daemon's disk.
  std::size_t held() const { return spool_ == nullptr ? 0 : spool_->held(); }

  // Returns false when the path is not part of the spool protocol.
  bool Handle(const HttpRequest& request, HttpExchange& exchange);

 private:
  SpoolAnswer Ask(Fiber& fiber,
                  const SpoolHolder& holder,
                  const std::string& path,
                  const SpoolRequest& request);
  SpoolAnswer Answer(const std::string& path, const SpoolRequest& request);

  HttpClient& http_;
  KvClient& kv_;
  const Membership& membership_;
  BlockSpool* spool_;
  EventLog& log_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_HOLDERS_H_
