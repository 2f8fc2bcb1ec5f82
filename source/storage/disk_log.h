#ifndef STORAGE_DISK_LOG_H_
#define STORAGE_DISK_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"

namespace comfreyfold {

// An append-only log on a disk, in segments. Entries bear a checksum: after a
// loss of power what was not synced may be missing or torn, and reading a
// segment ends there. A thread of its own writes and syncs, so that a slow
// disk never holds up the loop.
class DiskLog {
 public:
  // Opens `folder`, which must exist. Throws std::runtime_error.
  DiskLog(Loop& loop, std::string folder);
  ~DiskLog();

  // Reads the entries of all earlier segments, oldest first, each with its
  // segment's number, and syncs what a killed process left unsynced.
  void Replay(
      const std::function<void(std::int64_t, const std::string&)>& on_entry);

  // Appends; `done` is told on the loop whether the entry is on disk.
  // Returns the number of the segment it goes to.
  std::int64_t Append(const std::string& entry, std::function<void(bool)> done);

  // Removes an earlier segment.
  void Remove(std::int64_t segment);

  std::int64_t current_segment() const;
  // Entries that wait for the disk.
  std::size_t backlog() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// Writes `text` to `folder`/`name` so that it survives a loss of power whole
// or not at all. Throws std::runtime_error.
void WriteFileDurably(const std::string& folder,
                      const std::string& name,
                      const std::string& text);

// The file's text; empty when there is none.
std::string ReadWholeFile(const std::string& path);

}  // namespace comfreyfold

#endif  // STORAGE_DISK_LOG_H_
