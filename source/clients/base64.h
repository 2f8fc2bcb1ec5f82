#ifndef CLIENTS_BASE64_H_
#define CLIENTS_BASE64_H_

#include <string>

namespace comfreyfold {

// Base64 (OpenSSL), as the key-value service's JSON carries bytes.
std::string EncodeBase64(const std::string& bytes);
// Throws std::invalid_argument.
std::string DecodeBase64(const std::string& text);

// SHA-256 as 64 lower-case hex digits.
std::string Sha256Hex(const std::string& bytes);

// A random identifier of 32 hex digits.
std::string RandomId();

}  // namespace comfreyfold

#endif  // CLIENTS_BASE64_H_
