#ifndef SERVER_PROGRAM_LISTING_H_
#define SERVER_PROGRAM_LISTING_H_

#include "net/http_server.h"
#include "server/lane_manager.h"

namespace comfreyfold {

// Serves GET /operator/programs?customer=NAME: the customer's programs in the
// lanes owned here, without any message text.
class ProgramListing {
 public:
  ProgramListing(LaneManager& lanes, std::string daemon)
      : lanes_(lanes), daemon_(std::move(daemon)) {}

  // Returns false when the path is not the one above.
  bool Handle(const HttpRequest& request, HttpExchange& exchange) const;

 private:
  LaneManager& lanes_;
  std::string daemon_;
};

}  // namespace comfreyfold

#endif  // SERVER_PROGRAM_LISTING_H_
