#include "net/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace comfreyfold {

std::optional<Endpoint> ParseEndpoint(const std::string& address) {
  const auto n = address.rfind(':');
  if (n == std::string::npos) {
    return std::nullopt;
  }
  Endpoint out;
  out.ip = address.substr(0, n);
  boost::system::error_code ec;
  boost::asio::ip::make_address(out.ip, ec);
  const auto* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + n + 1, end, out.port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return out;
}

}  // namespace comfreyfold
