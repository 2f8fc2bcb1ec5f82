#ifndef WIRE_STORAGE_WIRE_H_
#define WIRE_STORAGE_WIRE_H_

// Conversions shared by the sources of wire/. No other directory may include
// this header.

#include "core/storage_list.h"
#include "wire/gen/comfreyfold_types.h"

namespace comfreyfold::detail {

wire::StorageList ToWire(const StorageList& list);
StorageList FromWire(const wire::StorageList& list);

}  // namespace comfreyfold::detail

#endif  // WIRE_STORAGE_WIRE_H_
