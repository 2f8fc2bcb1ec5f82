#ifndef STORAGE_DISK_LOG_H_
#define STORAGE_DISK_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/log_position.h"
#include "core/time_point.h"
#include "net/loop.h"
#include "storage/disk_file.h"
#include "storage/disk_write_counts.h"

namespace comfreyfold {

// An append-only log of checksummed entries, stored in segment files. After a
// power failure, entries that were not synced may be missing or torn; reading a
// segment stops at the first damaged entry. Dedicated threads write and read,
// so that a slow disk never blocks the event loop.
//
// Entries of different kinds are written to different segments, side by side: a
// foreground entry waits for no other kind. Entries of one kind are synced in
// the order of the calls, those of different kinds in any order, and a replay
// passes them by segment.
class DiskLog {
 public:
  // Opens `folder`, which must exist. Throws std::runtime_error.
  DiskLog(Loop& loop, std::string folder);
  ~DiskLog();

  // Reads the entries of all closed segments, by number, and passes each
  // with its position to `on_entry`. Syncs the segments first, because a killed
  // process may have left them unsynced.
  void Replay(const std::function<void(const LogPosition&, const std::string&)>&
                  on_entry);

  // Queues `entry` for writing. `done` runs on the event loop and receives
  // whether the entry has been synced to disk. Returns the position that
  // receives the entry.
  LogPosition Append(const std::string& entry,
                     std::function<void(bool)> done,
                     WriteKind kind = WriteKind::kForeground);

  // Reads the entries at `positions`. `done` runs on the event loop and
  // receives them in this order; an entry that cannot be read, or whose turn
  // has not come by `until`, is empty.
  void Read(std::vector<LogPosition> positions,
            TimePoint until,
            std::function<void(std::vector<std::string>)> done);

  // Replaces the file `name` of the folder as WriteFileDurably() does, without
  // blocking the event loop. `done` runs on the event loop and receives whether
  // the file has been replaced. Files are replaced in the order of the calls.
  void ReplaceFile(const std::string& name,
                   const std::string& text,
                   std::function<void(bool)> done);

  // Sets the hook that the writing threads call before they write entries of a
  // kind or replace a file, for instance to slow the disk down in a test. If it
  // throws a std::exception, the write fails.
  void BeforeWrite(std::function<void(WriteKind)> hook);

  // Returns what was written since the last call.
  DiskWriteCounts TakeWriteCounts();

  // Removes a closed segment. Does nothing for an open one.
  void Remove(std::int64_t segment);

  // Returns the newest segment, or the next one if none was opened.
  std::int64_t current_segment() const;
  // Whether the segment is closed and no entry is still to be written to it.
  bool IsWritten(std::int64_t segment) const;
  std::vector<std::int64_t> ClosedSegments() const;
  // Number of entries whose write or sync has not finished.
  std::size_t backlog() const;
  std::size_t backlog_bytes() const;
  // Bytes of a segment, with what is still to be written.
  std::int64_t SegmentBytes(std::int64_t segment) const;
  // Bytes of all segments, with what is still to be written.
  std::int64_t size_bytes() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreyfold

#endif  // STORAGE_DISK_LOG_H_
