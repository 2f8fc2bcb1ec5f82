#include "vm/raw_client.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "net/loop_impl.h"
#include "net/yield_token.h"

namespace comfreyfold {

RawClient::RawClient(Fiber& fiber,
                     VmDeployment& deployment,
                     const VmDeployment::Vm& vm)
    : fiber_(fiber), socket_(deployment.loop().impl().io) {
  const auto& address = vm.settings.client_address;
  const auto colon = address.rfind(':');
  boost::system::error_code ec;
  socket_.async_connect(
      {boost::asio::ip::make_address(address.substr(0, colon)),
       static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))},
      YieldToken(fiber_)[ec]);
}

void RawClient::Write(const std::string& bytes) {
  boost::system::error_code ec;
  boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                           YieldToken(fiber_)[ec]);
}

std::string RawClient::ReadToEnd() {
  std::string out;
  boost::system::error_code ec;
  boost::asio::async_read(socket_, boost::asio::dynamic_buffer(out),
                          YieldToken(fiber_)[ec]);
  return out;
}

}  // namespace comfreyfold
