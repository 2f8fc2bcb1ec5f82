#ifndef STORAGE_DISK_WRITE_COUNTS_H_
#define STORAGE_DISK_WRITE_COUNTS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace comfreyfold {

// Why a disk is written to.
enum class WriteKind {
  kForeground,  // Entry of a request that is to be answered.
  kBackground,  // Entry of a copy, a move within the log, or a second write.
  kFile,        // File that is replaced as a whole.
};

// Entries of one kind that were written.
struct EntryCounts {
  int entries = 0;
  std::int64_t bytes = 0;
  // The longest time and the most syncs from the moment an entry was queued to
  // the end of its own sync.
  std::chrono::milliseconds longest_wait{0};
  int most_syncs = 0;

  void Add(std::int64_t entry_bytes,
           std::chrono::milliseconds wait,
           int syncs) {
    ++entries;
    bytes += entry_bytes;
    longest_wait = std::max(longest_wait, wait);
    most_syncs = std::max(most_syncs, syncs);
  }
};

// What a disk wrote.
struct DiskWriteCounts {
  EntryCounts foreground;
  EntryCounts background;
  int syncs = 0;
  int files = 0;  // Replaced as a whole.

  EntryCounts& Of(WriteKind kind) {
    return kind == WriteKind::kForeground ? foreground : background;
  }
};

}  // namespace comfreyfold

#endif  // STORAGE_DISK_WRITE_COUNTS_H_
