#include "standins/raw_server.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "net/loop_impl.h"
#include "net/yield_token.h"

namespace comfreyfold::standins {

using boost::asio::ip::tcp;

struct RawServer::Impl {
  Impl(Loop& owner, std::function<void(Fiber&, Peer&)> on_connection)
      : loop(owner),
        serve(std::move(on_connection)),
        acceptor(owner.impl().io,
                 tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

  Loop& loop;
  std::function<void(Fiber&, Peer&)> serve;
  tcp::acceptor acceptor;
  int connections = 0;
  std::uint64_t written = 0;
};

namespace {

constexpr const char* kState =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 2\r\n\r\n{}";

class SocketPeer : public RawServer::Peer {
 public:
  SocketPeer(Fiber& fiber, tcp::socket& socket, std::uint64_t& written)
      : fiber_(fiber), socket_(socket), written_(written) {}

  std::string ReadHead() override {
    for (;;) {
      std::string out;
      boost::system::error_code ec;
      boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(out),
                                    "\r\n\r\n", YieldToken(fiber_)[ec]);
      if (ec) {
        return {};
      }
      if (out.rfind("GET /api/report ", 0) != 0) {
        return out;
      }
      Write(kState);
    }
  }

  bool Write(const std::string& bytes) override {
    boost::system::error_code ec;
    written_ += boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                                         YieldToken(fiber_)[ec]);
    return !ec;
  }

  void Reset() override {
    boost::system::error_code ec;
    // Closing a socket that lingers for no time resets its connection.
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket_.close(ec);
  }

 private:
  Fiber& fiber_;
  tcp::socket& socket_;
  std::uint64_t& written_;
};

}  // namespace

RawServer::RawServer(Loop& loop, std::function<void(Fiber&, Peer&)> serve)
    : impl_(std::make_shared<Impl>(loop, std::move(serve))) {
  const auto bound = impl_->acceptor.local_endpoint();
  address_ = bound.address().to_string() + ":" + std::to_string(bound.port());
  loop.Spawn([impl = impl_](Fiber& fiber) {
    for (;;) {
      auto socket = std::make_shared<tcp::socket>(impl->loop.impl().io);
      boost::system::error_code ec;
      impl->acceptor.async_accept(*socket, YieldToken(fiber)[ec]);
      if (ec) {
        return;
      }
      ++impl->connections;
      impl->loop.Spawn([impl, socket](Fiber& child) {
        SocketPeer peer(child, *socket, impl->written);
        impl->serve(child, peer);
      });
    }
  });
}

RawServer::~RawServer() {
  boost::system::error_code ec;
  impl_->acceptor.close(ec);
}

int RawServer::connections() const {
  return impl_->connections;
}

std::uint64_t RawServer::written() const {
  return impl_->written;
}

}  // namespace comfreyfold::standins
