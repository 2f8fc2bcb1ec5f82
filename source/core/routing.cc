#include "core/routing.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace comfreyfold {

namespace {

// Converts a host name to lower case and removes the port.
std::string CanonicalHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

}  // namespace

const char* Route::service_kind() const {
  switch (kind) {
    case RequestKind::kSafe:
      return "safe";
    case RequestKind::kUnsafe:
      return "unsafe";
    case RequestKind::kStream:
      return "stream";
  }
  return "";
}

const std::string& Route::Choose(std::uint64_t draw) const {
  const int total_weight = std::accumulate(
      services.begin(), services.end(), 0,
      [](int sum, const WeightedService& it) { return sum + it.weight; });
  auto remainder = total_weight > 0 ? static_cast<int>(draw % total_weight) : 0;
  for (const auto& it : services) {
    if (remainder < it.weight) {
      return it.service;
    }
    remainder -= it.weight;
  }
  return services.front().service;
}

const Route* RoutingConfig::Find(std::string_view host,
                                 std::string_view path) const {
  const auto canonical_host = CanonicalHost(host);
  const Route* longest = nullptr;
  for (const auto& it : routes) {
    if (path.substr(0, it.prefix.size()) == it.prefix &&
        CanonicalHost(it.host) == canonical_host &&
        (longest == nullptr || it.prefix.size() > longest->prefix.size())) {
      longest = &it;
    }
  }
  return longest;
}

}  // namespace comfreyfold
