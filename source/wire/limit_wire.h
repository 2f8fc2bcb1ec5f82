#ifndef WIRE_LIMIT_WIRE_H_
#define WIRE_LIMIT_WIRE_H_

// Conversions shared by the sources of wire/. No other directory may include
// this header.

#include <vector>

#include "core/server_limit_table.h"
#include "wire/gen/comfreyfold_types.h"

namespace comfreyfold::detail {

std::vector<wire::ServerLimit> ToWire(const std::vector<ServerLimit>& limits);

// Limits that are no numbers or negative are left out.
std::vector<ServerLimit> FromWire(const std::vector<wire::ServerLimit>& limits);

}  // namespace comfreyfold::detail

#endif  // WIRE_LIMIT_WIRE_H_
