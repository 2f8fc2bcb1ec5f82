#ifndef CORE_LOG_POSITION_H_
#define CORE_LOG_POSITION_H_

#include <cstdint>

namespace comfreyfold {

// Where an entry stands in the log of a disk. Segments are numbered from 1.
struct LogPosition {
  std::int64_t segment = 0;
  std::int64_t offset = 0;  // In bytes.
  std::int64_t length = 0;  // In bytes, with the entry's header.
};

}  // namespace comfreyfold

#endif  // CORE_LOG_POSITION_H_
