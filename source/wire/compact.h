#ifndef WIRE_COMPACT_H_
#define WIRE_COMPACT_H_

#include <memory>
#include <string>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "wire/codec.h"

namespace comfreyfold::detail {

// Thrift compact encoding of a generated struct.
template <typename T>
std::string Write(const T& value) {
  const auto memory =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocol protocol(memory);
  value.write(&protocol);
  return memory->getBufferAsString();
}

// Throws WireError.
template <typename T>
T Read(const std::string& buf) {
  // The library's buffer takes a mutable pointer but only observes it.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(buf.data()));
  const auto memory =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>(
          data, static_cast<std::uint32_t>(buf.size()));
  apache::thrift::protocol::TCompactProtocol protocol(memory);
  T out;
  try {
    out.read(&protocol);
  } catch (const apache::thrift::TException& e) {
    throw WireError(std::string("not a valid message: ") + e.what());
  }
  return out;
}

}  // namespace comfreyfold::detail

#endif  // WIRE_COMPACT_H_
