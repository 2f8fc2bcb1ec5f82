#ifndef VM_RAW_CLIENT_H_
#define VM_RAW_CLIENT_H_

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "vm/vm_deployment.h"

namespace comfreyfold {

// A client's connection on which a request is sent in pieces.
class RawClient {
 public:
  RawClient(Fiber& fiber, VmDeployment& deployment, const VmDeployment::Vm& vm);

  void Write(const std::string& bytes);
  // Returns all that the daemon sends until it closes the connection.
  std::string ReadToEnd();

 private:
  Fiber& fiber_;
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace comfreyfold

#endif  // VM_RAW_CLIENT_H_
