#include "core/routing.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace comfreyfold {

namespace {

// Host names compare without regard to case and to a port.
std::string Canonical(std::string_view host) {
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
  const int total = std::accumulate(
      services.begin(), services.end(), 0,
      [](int sum, const WeightedService& it) { return sum + it.weight; });
  auto left = total > 0 ? static_cast<int>(draw % total) : 0;
  for (const auto& it : services) {
    if (left < it.weight) {
      return it.service;
    }
    left -= it.weight;
  }
  return services.front().service;
}

const Route* RoutingConfig::Find(std::string_view host,
                                 std::string_view path) const {
  const auto wanted = Canonical(host);
  const Route* found = nullptr;
  for (const auto& it : routes) {
    if (path.substr(0, it.prefix.size()) == it.prefix &&
        Canonical(it.host) == wanted &&
        (found == nullptr || it.prefix.size() > found->prefix.size())) {
      found = &it;
    }
  }
  return found;
}

}  // namespace comfreyfold
