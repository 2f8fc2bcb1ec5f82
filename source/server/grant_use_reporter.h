#ifndef SERVER_GRANT_USE_REPORTER_H_
#define SERVER_GRANT_USE_REPORTER_H_

#include <string>
#include <utility>

#include "core/grant_use.h"
#include "net/http_server.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Tells what the journals of the lanes owned here prove of grants (POST
// /peer/grant-use, Thrift bodies).
class GrantUseReporter {
 public:
  // `run` names this run of the daemon in grants.
  GrantUseReporter(LaneManager& lanes, std::string run)
      : lanes_(lanes), run_(std::move(run)) {}

  // Answers for every lane that is proved, by an append, to be owned here
  // after the question was put; for none when the grant's holder lives.
  GrantAnswer Answer(Fiber& fiber, const GrantQuestion& question);

  // False when the path is not its own.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  LaneManager& lanes_;
  std::string run_;
};

}  // namespace comfreyfold

#endif  // SERVER_GRANT_USE_REPORTER_H_
