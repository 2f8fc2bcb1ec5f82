#ifndef SERVER_PEER_HOLDERS_H_
#define SERVER_PEER_HOLDERS_H_

#include <string>

#include "clients/kv_client.h"
#include "core/membership.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "server/block_spool.h"
#include "server/holder_links.h"

namespace comfreyfold {

// Both ends of the interface to the spools: asks those of other daemons
// (Thrift bodies over HTTP) and answers for this daemon's own.
class PeerHolders : public HolderLinks {
 public:
  // `spool` null: this daemon has none.
  PeerHolders(HttpClient& http,
              KvClient& kv,
              const Membership& membership,
              BlockSpool* spool,
              EventLog& log);

  std::vector<SpoolHolder> Choose(int lane) override;
  bool IsThere(const SpoolHolder& holder) override;
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

  // Blocks of other daemons' lanes that are on this daemon's disk.
  std::size_t held() const { return spool_ == nullptr ? 0 : spool_->held(); }

  // False when the path is not one of the spool's.
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
