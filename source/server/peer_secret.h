#ifndef SERVER_PEER_SECRET_H_
#define SERVER_PEER_SECRET_H_

#include <string>

#include "net/http.h"
#include "net/http_client.h"

namespace comfreyfold {

// The secret shared by the daemons of one fleet. It keeps clients from using
// the interface between daemons.
class PeerSecret {
 public:
  // Reads the secret from `file`. With an empty file name the fleet has no
  // secret and every request is authorized. Throws std::runtime_error when the
  // file cannot be read or the secret is too short.
  explicit PeerSecret(const std::string& file);

  // Makes `http` send the secret with every request to another daemon.
  void AddToRequests(HttpClient& http) const;

  // True when `request` carries the secret or the fleet has none.
  bool IsAuthorized(const HttpRequest& request) const;

 private:
  std::string secret_;
};

}  // namespace comfreyfold

#endif  // SERVER_PEER_SECRET_H_
