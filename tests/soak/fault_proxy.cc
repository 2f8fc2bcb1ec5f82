#include "soak/fault_proxy.h"

#include <array>
#include <set>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace comfreyfold::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 16 * 1024;

// The thread of all proxies.
asio::io_context& Context() {
  static auto* io = [] {
    auto* out = new asio::io_context(1);
    std::thread([out] {
      const auto work = asio::make_work_guard(*out);
      out->run();
    }).detach();
    return out;
  }();
  return *io;
}

tcp::endpoint Parse(const std::string& address) {
  const auto n = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, n)),
          static_cast<std::uint16_t>(std::stoi(address.substr(n + 1)))};
}

void Reset(tcp::socket& socket) {
  error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

}  // namespace

struct FaultProxy::Impl : std::enable_shared_from_this<FaultProxy::Impl> {
  // A connection of a client and the one to the target.
  struct Pair {
    explicit Pair(asio::io_context& io) : client(io), server(io) {}
    tcp::socket client;
    tcp::socket server;
    bool silent = false;

    void ResetBoth() {
      Reset(client);
      Reset(server);
    }
  };

  explicit Impl(const std::string& to)
      : target(Parse(to)),
        acceptor(Context(), {asio::ip::make_address("127.0.0.1"), 0}) {}

  void Accept() {
    auto pair = std::make_shared<Pair>(Context());
    acceptor.async_accept(pair->client,
                          [self = shared_from_this(), pair](error_code ec) {
                            if (ec) {
                              return;
                            }
                            self->Open(pair);
                            self->Accept();
                          });
  }

  void Open(const std::shared_ptr<Pair>& pair) {
    if (mode == ProxyMode::kReset) {
      pair->ResetBoth();
      return;
    }
    pair->server.async_connect(
        target, [self = shared_from_this(), pair](error_code ec) {
          if (ec) {
            pair->ResetBoth();
            return;
          }
          self->pairs.insert(pair);
          self->Pump(pair, true);
          self->Pump(pair, false);
        });
  }

  bool Dropped(const Pair& pair, bool is_request) const {
    return pair.silent || (mode == ProxyMode::kCutRequest && is_request) ||
           (mode == ProxyMode::kCutAnswer && !is_request);
  }

  void Pump(const std::shared_ptr<Pair>& pair, bool is_request) {
    auto buf = std::make_shared<std::array<char, kPieceBytes>>();
    auto& from = is_request ? pair->client : pair->server;
    from.async_read_some(asio::buffer(*buf),
                         [self = shared_from_this(), pair, buf, is_request](
                             error_code ec, std::size_t n) {
                           if (ec) {
                             self->Close(pair, is_request);
                           } else if (self->Dropped(*pair, is_request)) {
                             self->Pump(pair, is_request);
                           } else {
                             self->Forward(pair, buf, n, is_request);
                           }
                         });
  }

  void Forward(const std::shared_ptr<Pair>& pair,
               const std::shared_ptr<std::array<char, kPieceBytes>>& buf,
               std::size_t n,
               bool is_request) {
    auto timer = std::make_shared<asio::steady_timer>(
        Context(),
        mode == ProxyMode::kDelay ? delay : std::chrono::milliseconds(0));
    timer->async_wait([self = shared_from_this(), pair, buf, n, is_request,
                       timer](error_code) {
      auto& to = is_request ? pair->server : pair->client;
      asio::async_write(to, asio::buffer(buf->data(), n),
                        [self, pair, buf, is_request](error_code ec, size_t) {
                          if (ec) {
                            self->Close(pair, is_request);
                          } else {
                            self->Pump(pair, is_request);
                          }
                        });
    });
  }

  // The other side sees the end as well, unless the way there is cut.
  void Close(const std::shared_ptr<Pair>& pair, bool is_request) {
    error_code ec;
    if (!Dropped(*pair, is_request)) {
      auto& to = is_request ? pair->server : pair->client;
      to.shutdown(tcp::socket::shutdown_send, ec);
    }
    auto& from = is_request ? pair->client : pair->server;
    from.shutdown(tcp::socket::shutdown_receive, ec);
    pairs.erase(pair);
  }

  void Set(ProxyMode next, std::chrono::milliseconds time) {
    mode = next;
    delay = time;
    for (const auto& it : pairs) {
      if (mode == ProxyMode::kReset) {
        it->ResetBoth();
      }
      it->silent = it->silent || mode == ProxyMode::kSilent;
    }
  }

  tcp::endpoint target;
  tcp::acceptor acceptor;
  std::set<std::shared_ptr<Pair>> pairs;
  ProxyMode mode = ProxyMode::kPass;
  std::chrono::milliseconds delay{0};
};

FaultProxy::FaultProxy(const std::string& target)
    : impl_(std::make_shared<Impl>(target)) {
  const auto bound = impl_->acceptor.local_endpoint();
  address_ = bound.address().to_string() + ":" + std::to_string(bound.port());
  asio::post(Context(), [impl = impl_] { impl->Accept(); });
}

FaultProxy::~FaultProxy() {
  asio::post(Context(), [impl = impl_] {
    error_code ec;
    impl->acceptor.close(ec);
    for (const auto& it : impl->pairs) {
      it->ResetBoth();
    }
  });
}

void FaultProxy::Set(ProxyMode mode, std::chrono::milliseconds delay) {
  asio::post(Context(),
             [impl = impl_, mode, delay] { impl->Set(mode, delay); });
}

}  // namespace comfreyfold::soak
