#ifndef WIRE_COMPACT_H_
#define WIRE_COMPACT_H_

#include <memory>
#include <string>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "wire/codec.h"

namespace comfreyfold::detail {

// Calls its transport directly; TCompactProtocol makes a virtual call per byte.
using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;

// Returns the Thrift compact encoding of a generated struct.
template <typename T>
std::string Write(const T& value) {
  const auto memory =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  CompactProtocol protocol(memory);
  value.write(&protocol);
  return memory->getBufferAsString();
}

// Decodes a generated struct. Throws WireError when `buf` is not a valid
// message.
template <typename T>
T Read(const std::string& buf) {
  // TMemoryBuffer takes a mutable pointer but only reads from it by default.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(buf.data()));
  const auto memory =
      std::make_shared<apache::thrift::transport::TMemoryBuffer>(
          data, static_cast<std::uint32_t>(buf.size()));
  CompactProtocol protocol(memory);
  T out;
  try {
    out.read(&protocol);
  } catch (const apache::thrift::TException& e) {
    throw WireError(std::string("not a valid message: ") + e.what());
  }
  return out;
}

// Converts `value` to an enum whose values run from 0 to `last`. Throws
// WireError when it is outside that range.
template <typename Enum>
Enum ToEnum(int value, Enum last) {
  if (value < 0 || value > static_cast<int>(last)) {
    throw WireError("enum value out of range: " + std::to_string(value));
  }
  return static_cast<Enum>(value);
}

}  // namespace comfreyfold::detail

#endif  // WIRE_COMPACT_H_
