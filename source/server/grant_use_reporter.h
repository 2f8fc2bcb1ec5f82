#ifndef SERVER_GRANT_USE_REPORTER_H_
#define SERVER_GRANT_USE_REPORTER_H_

#include <string>
#include <utility>

#include "core/grant_use.h"
#include "net/http_server.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Reports how much of a budget grant has been used according to the journals of
// the lanes owned by this daemon (POST /peer/grant-use, Thrift bodies).
class GrantUseReporter {
 public:
  // `run` is the id of this run of the daemon in grants.
  GrantUseReporter(LaneManager& lanes, std::string run)
      : lanes_(lanes), run_(std::move(run)) {}

  // Reports on every lane for which an append, made after the request arrived,
  // proves that this daemon owns it. Reports on no lane when a grant in
  // question is this daemon's own.
  GrantAnswer Answer(Fiber& fiber, const GrantQuestion& question);

  // Returns false when the request has another path.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  LaneManager& lanes_;
  std::string run_;
};

}  // namespace comfreyfold

#endif  // SERVER_GRANT_USE_REPORTER_H_
