#include "clients/base64.h"

#include <array>
#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/rand.h>

namespace comfreyfold {

namespace {

constexpr std::size_t kRandomIdBytes = 16;

std::string ToHex(const unsigned char* data, std::size_t size) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (std::size_t i = 0; i < size; ++i) {
    out += kDigits[data[i] >> 4];
    out += kDigits[data[i] & 15];
  }
  return out;
}

const unsigned char* AsUnsignedBytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string EncodeBase64(const std::string& bytes) {
  // EVP_EncodeBlock also writes a terminating zero byte.
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      AsUnsignedBytes(bytes), static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(n));
  return out;
}

std::string DecodeBase64(const std::string& text) {
  if (text.size() % 4 != 0) {
    throw std::invalid_argument("length of Base64 text is not a multiple of 4");
  }
  std::string out(text.size() / 4 * 3, '\0');
  const int n =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      AsUnsignedBytes(text), static_cast<int>(text.size()));
  if (n < 0) {
    throw std::invalid_argument("text is not valid Base64");
  }
  // EVP_DecodeBlock decodes padding characters to zero bytes and counts them.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  out.resize(static_cast<std::size_t>(n) - padding);
  return out;
}

std::string Sha256Hex(const std::string& bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int n = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &n, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), n);
}

std::string RandomId() {
  std::array<unsigned char, kRandomIdBytes> bytes;
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("OpenSSL could not provide random bytes");
  }
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace comfreyfold
