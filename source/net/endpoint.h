#ifndef NET_ENDPOINT_H_
#define NET_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace comfreyfold {

// An IP address and a port.
struct Endpoint {
  std::string ip;
  std::uint16_t port = 0;
};

// Parses "ip:port". Returns nothing if `address` has another form, or the port
// is not between 0 and 65535.
std::optional<Endpoint> ParseEndpoint(const std::string& address);

}  // namespace comfreyfold

#endif  // NET_ENDPOINT_H_
