#include "harness/raw_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <stdexcept>

namespace comfreyfold::harness {

namespace {

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";

// Returns the length of the first reply in `buf`; npos while it is incomplete.
std::size_t ReplyLength(const std::string& buf) {
  const auto end = buf.find(kHeaderEnd);
  if (end == std::string::npos) {
    return std::string::npos;
  }
  std::size_t body_bytes = 0;
  const std::string name = "\r\nContent-Length: ";
  const auto n = buf.find(name);
  if (n < end) {
    body_bytes = std::strtoul(buf.c_str() + n + name.size(), nullptr, 10);
  }
  const auto total = end + kHeaderEnd.size() + body_bytes;
  return buf.size() < total ? std::string::npos : total;
}

}  // namespace

RawConnection::RawConnection(const std::string& address)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
  const auto n = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(address.c_str() + n + 1, nullptr, 10)));
  inet_pton(AF_INET, address.substr(0, n).c_str(), &to.sin_addr);
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    ::close(socket_);
    throw std::runtime_error("cannot connect to " + address);
  }
}

RawConnection::~RawConnection() {
  ::close(socket_);
}

bool RawConnection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const auto n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

void RawConnection::CloseSending() const {
  ::shutdown(socket_, SHUT_WR);
}

bool RawConnection::ReadMore(std::chrono::milliseconds timeout) {
  pollfd ready{socket_, POLLIN, 0};
  if (::poll(&ready, 1, static_cast<int>(timeout.count())) <= 0) {
    return false;
  }
  std::array<char, kReadBytes> chunk;
  const auto n = ::recv(socket_, chunk.data(), chunk.size(), 0);
  if (n <= 0) {
    return false;
  }
  buf_.append(chunk.data(), static_cast<std::size_t>(n));
  return true;
}

std::string RawConnection::ReadReply(std::chrono::milliseconds timeout) {
  auto n = ReplyLength(buf_);
  while (n == std::string::npos && ReadMore(timeout)) {
    n = ReplyLength(buf_);
  }
  const auto out = buf_.substr(0, n);
  buf_.erase(0, out.size());
  return out;
}

int StatusOf(const std::string& reply) {
  const auto n = reply.find(' ');
  return n == std::string::npos ? 0
                                : static_cast<int>(std::strtol(
                                      reply.c_str() + n + 1, nullptr, 10));
}

}  // namespace comfreyfold::harness
