#ifndef CORE_PERMIT_ISSUER_H_
#define CORE_PERMIT_ISSUER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/storage_list.h"
#include "core/time_point.h"

namespace comfreyfold {

// A server with a limit accepts a request of a daemon only with a permit. A
// permit is for one request and expires after this time, so that what daemons
// hold does not add up.
inline constexpr std::chrono::milliseconds kPermitLifetime{400};

// Permits that a daemon asks for, for one server.
struct PermitRequest {
  std::string server_id;
  int wanted = 0;
};

// The reply of one issuer.
struct PermitReply {
  std::string server_id;
  // When each permit that is granted becomes valid, from the reply on.
  std::vector<std::chrono::milliseconds> valid_in;
  // When it makes sense to ask this issuer again if fewer than wanted were
  // granted.
  std::chrono::milliseconds retry_in{0};
};

// Lowest rate at which a server is sent requests, over all daemons, however low
// its limit is: only its answers tell that the limit has ended.
inline constexpr double kMinServerRate = 0.25;  // Per second.

// Parts that each server's limit is divided into, one for each issuer. Issuers
// need not agree, and no more than its part is lost with one that is down. The
// parts are the same with fewer issuers: while daemons know different lists,
// each issuer that has been replaced adds one part at most.
inline constexpr int kPermitIssuers = 3;

// Addresses of the storage daemons that issue permits.
std::vector<std::string> PermitIssuersOf(const StorageList& list);

// Issues permits within a part of the limits of servers, at even intervals.
class PermitIssuer {
 public:
  // Permits that this daemon has issued before it was started at `started` may
  // still be in use.
  explicit PermitIssuer(TimePoint started);

  // `per_second` is the server's limit, of which this issuer has a part.
  PermitReply Issue(const PermitRequest& request,
                    double per_second,
                    TimePoint now);

 private:
  TimePoint silent_until_;
  std::map<std::string, TimePoint> last_issued_;  // Valid from then on.
};

}  // namespace comfreyfold

#endif  // CORE_PERMIT_ISSUER_H_
