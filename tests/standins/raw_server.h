#ifndef STANDINS_RAW_SERVER_H_
#define STANDINS_RAW_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"

namespace comfreyfold::standins {

// Stand-in for a server that does not keep to HTTP: the test writes the bytes
// of its answers.
class RawServer {
 public:
  // One connection of a client.
  class Peer {
   public:
    virtual ~Peer() = default;
    // Reads up to the end of a request's headers. Returns the bytes read; empty
    // once the client has closed the connection. Requests for the server's
    // state are answered, and not returned.
    virtual std::string ReadHead() = 0;
    // Returns false once the client has closed the connection.
    virtual bool Write(const std::string& bytes) = 0;
    // Resets the connection; bytes that the client has not read are lost.
    virtual void Reset() = 0;
  };

  // `serve` runs in a coroutine of its own for each connection.
  RawServer(Loop& loop, std::function<void(Fiber&, Peer&)> serve);
  ~RawServer();

  const std::string& address() const { return address_; }
  int connections() const;
  // Bytes written to all clients.
  std::uint64_t written() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
  std::string address_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_RAW_SERVER_H_
