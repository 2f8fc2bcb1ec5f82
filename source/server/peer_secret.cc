#include "server/peer_secret.h"

#include <fstream>
#include <stdexcept>

#include <openssl/crypto.h>

#include "server/peer_protocol.h"

namespace comfreyfold {

namespace {
constexpr char kHeader[] = "Comfreyfold-Peer-Secret";
constexpr std::size_t kLeastCharacters = 16;
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
  if (secret_.size() < kLeastCharacters) {
    throw std::runtime_error(file + ":1: the secret is too short; write " +
                             std::to_string(kLeastCharacters) +
                             " characters or more without spaces");
  }
}

void PeerSecret::ShowOn(HttpClient& http) const {
  if (!secret_.empty()) {
    http.AddHeader(kPeerPrefix, {kHeader, secret_});
  }
}

bool PeerSecret::Admits(const HttpRequest& request) const {
  if (secret_.empty()) {
    return true;
  }
  // Compared in constant time, so that the answer's delay tells nothing.
  const auto shown = request.Header(kHeader);
  return shown.size() == secret_.size() &&
         CRYPTO_memcmp(shown.data(), secret_.data(), secret_.size()) == 0;
}

}  // namespace comfreyfold
