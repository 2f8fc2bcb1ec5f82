#include "net/http.h"

#include <algorithm>
#include <cctype>

namespace comfreyfold {

namespace {
bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}
}  // namespace

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name) {
  for (const auto& it : headers) {
    if (EqualsIgnoringCase(it.name, name)) {
      return it.value;
    }
  }
  return {};
}

std::string HttpRequest::Path() const {
  return target.substr(0, target.find('?'));
}

std::string HttpRequest::Query(std::string_view name) const {
  const auto start = target.find('?');
  if (start == std::string::npos) {
    return {};
  }
  std::string_view rest(target);
  rest.remove_prefix(start + 1);
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    const auto n = pair.find('=');
    if (pair.substr(0, n) == name) {
      return n == std::string_view::npos ? std::string()
                                         : std::string(pair.substr(n + 1));
    }
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
  }
  return {};
}

}  // namespace comfreyfold
