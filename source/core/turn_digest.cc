#include "core/turn_digest.h"

#include <algorithm>
#include <cstddef>

#include "core/hash.h"

namespace comfreyfold {

namespace {

constexpr std::uint64_t kSecondSeed = 0x9E3779B97F4A7C15;
constexpr std::size_t kWordBytes = 8;
constexpr std::size_t kKeyBytes = 2 * kWordBytes;
constexpr std::size_t kEntryBytes = kKeyBytes + kWordBytes;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint64_t kByteMask = 0xFF;

// Little endian on every machine.
char* Append(std::uint64_t word, char* out) {
  for (std::size_t n = 0; n < kWordBytes; ++n) {
    out[n] = static_cast<char>((word >> (n * kBitsPerByte)) & kByteMask);
  }
  return out + kWordBytes;
}

char* Append(const TurnKey& key, char* out) {
  return Append(key.second, Append(key.first, out));
}

std::uint64_t WordAt(std::string_view buf, std::size_t offset) {
  std::uint64_t out = 0;
  for (std::size_t n = 0; n < kWordBytes; ++n) {
    out |= std::uint64_t{static_cast<unsigned char>(buf[offset + n])}
           << (n * kBitsPerByte);
  }
  return out;
}

TurnKey KeyAt(std::string_view buf, std::size_t offset) {
  return {WordAt(buf, offset), WordAt(buf, offset + kWordBytes)};
}

}  // namespace

TurnKey TurnKey::Of(std::string_view id) {
  return {Hash64(id), Hash64(id, kSecondSeed)};
}

std::string PackDigest(const TurnDigest& digest) {
  std::string out(digest.size() * kEntryBytes, '\0');
  auto* end = out.data();
  for (const auto& it : digest) {
    end = Append(static_cast<std::uint64_t>(it.expires_at.count()),
                 Append(it.key, end));
  }
  return out;
}

TurnDigest UnpackDigest(std::string_view buf) {
  TurnDigest out;
  out.reserve(buf.size() / kEntryBytes);
  for (std::size_t n = 0; n + kEntryBytes <= buf.size(); n += kEntryBytes) {
    out.push_back({KeyAt(buf, n),
                   std::chrono::milliseconds(
                       static_cast<std::int64_t>(WordAt(buf, n + kKeyBytes)))});
  }
  const auto less = [](const DigestEntry& a, const DigestEntry& b) {
    return a.key < b.key;
  };
  if (!std::is_sorted(out.begin(), out.end(), less)) {
    std::sort(out.begin(), out.end(), less);
  }
  return out;
}

std::string PackKeys(const std::vector<TurnKey>& keys) {
  std::string out(keys.size() * kKeyBytes, '\0');
  auto* end = out.data();
  for (const auto& it : keys) {
    end = Append(it, end);
  }
  return out;
}

std::vector<TurnKey> UnpackKeys(std::string_view buf) {
  std::vector<TurnKey> out;
  out.reserve(buf.size() / kKeyBytes);
  for (std::size_t n = 0; n + kKeyBytes <= buf.size(); n += kKeyBytes) {
    out.push_back(KeyAt(buf, n));
  }
  return out;
}

}  // namespace comfreyfold
