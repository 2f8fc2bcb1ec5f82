#ifndef CLIENTS_BASE64_H_
#define CLIENTS_BASE64_H_

#include <string>

namespace comfreyfold {

// Encodes bytes as Base64, in which the key-value service's JSON carries keys
// and values.
std::string EncodeBase64(const std::string& bytes);
// Throws std::invalid_argument if `text` is not valid Base64.
std::string DecodeBase64(const std::string& text);

// Returns the SHA-256 digest as 64 lower-case hexadecimal digits.
std::string Sha256Hex(const std::string& bytes);

// Returns a random identifier of 32 lower-case hexadecimal digits. Throws
// std::runtime_error if no random bytes are available.
std::string RandomId();

}  // namespace comfreyfold

#endif  // CLIENTS_BASE64_H_
