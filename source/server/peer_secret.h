#ifndef SERVER_PEER_SECRET_H_
#define SERVER_PEER_SECRET_H_

#include <string>

#include "net/http.h"
#include "net/http_client.h"

namespace comfreyfold {

// The secret that the daemons of one fleet share, which keeps callers away
// from the interface between daemons.
class PeerSecret {
 public:
  // Reads `file`; an empty name means that the fleet has no secret. Throws
  // std::runtime_error when the file cannot be read or its text is too short.
  explicit PeerSecret(const std::string& file);

  // Makes `http` show the secret on every request to another daemon.
  void ShowOn(HttpClient& http) const;

  // True when `request` may use the interface between daemons.
  bool Admits(const HttpRequest& request) const;

 private:
  std::string secret_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_SECRET_H_
