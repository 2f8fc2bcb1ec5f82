#include "server/peer_secret.h"

#include <fstream>
#include <stdexcept>

#include <openssl/crypto.h>

#include "server/peer_protocol.h"

namespace comfreyfold {

namespace {
constexpr char kSecretHeader[] = "Comfreyfold-Peer-Secret";
constexpr std::size_t kMinSecretLength = 16;
}  // namespace

PeerSecret::PeerSecret(const std::string& file) {
  if (file.empty()) {
    return;
  }
  std::ifstream in(file);
  if (!in) {
    throw std::runtime_error(file +
                             ": cannot be read; check [daemon] "
                             "peer_secret_file and the file's permissions");
  }
  in >> secret_;
  if (secret_.size() < kMinSecretLength) {
    throw std::runtime_error(file + ":1: the secret is too short; write " +
                             std::to_string(kMinSecretLength) +
                             " characters or more without spaces");
  }
}

void PeerSecret::AddToRequests(HttpClient& http) const {
  if (!secret_.empty()) {
    http.AddHeader(kPeerPrefix, {kSecretHeader, secret_});
  }
}

bool PeerSecret::IsAuthorized(const HttpRequest& request) const {
  if (secret_.empty()) {
    return true;
  }
  // Compared in constant time, so that response times don't reveal how much of
  // a guess was right.
  const auto presented = request.Header(kSecretHeader);
  return presented.size() == secret_.size() &&
         CRYPTO_memcmp(presented.data(), secret_.data(), secret_.size()) == 0;
}

}  // namespace comfreyfold
