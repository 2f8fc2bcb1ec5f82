#ifndef STORAGE_SEGMENT_WRITER_H_
#define STORAGE_SEGMENT_WRITER_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/time_point.h"
#include "storage/disk_write_counts.h"
#include "storage/job_thread.h"

namespace comfreyfold {

// Appends entries to segment files in a thread of its own, in the order in
// which they were queued. All that is queued for one segment while a sync is
// under way shares the next one, as far as the size of a batch allows.
class SegmentWriter {
 public:
  struct Entry {
    std::string bytes;
    std::int64_t segment = 0;
    std::int64_t offset = 0;
    std::function<void(bool)> done;
    TimePoint queued_at{};  // Set by Append().
    int syncs_before = 0;   // The same.
  };
  // Receives, in the writing thread, a batch, all of one segment, and whether
  // it has been synced.
  using EndHook = std::function<void(std::vector<Entry>, bool)>;

  // `is_refused` is asked before each batch, in the writing thread.
  SegmentWriter(std::string folder,
                std::size_t max_batch_bytes,
                std::function<bool()> is_refused,
                EndHook on_end);

  void Append(Entry entry);
  // Whether an entry waits for the batch under way to end.
  bool HasQueued();
  // Takes over that the name of the segment's file is durable. Any thread may
  // call this.
  void MarkNamed(std::int64_t segment);
  // Removes the file of a segment before what is appended later is written.
  void Remove(std::int64_t segment);
  // Waits for the batch under way, and writes none after it.
  void Stop() { thread_.Stop(); }

  // Returns what was written since the last call.
  EntryCounts TakeCounts();
  int syncs() const { return syncs_; }

 private:
  void WriteQueued();
  std::vector<Entry> TakeBatch();
  bool Write(const std::vector<Entry>& batch);
  void WriteSegment(std::int64_t segment,
                    std::int64_t offset,
                    const std::string& bytes);
  bool IsNamed(std::int64_t segment);
  void Count(const std::vector<Entry>& batch);

  const std::string folder_;
  const std::size_t max_batch_bytes_;
  const std::function<bool()> is_refused_;
  const EndHook on_end_;
  std::atomic<int> syncs_{0};  // Since the start.
  // Used by the writing thread only.
  std::int64_t damaged_segment_ = 0;  // 0: none.

  std::mutex mutex_;
  std::deque<Entry> queue_;  // Guarded by `mutex_`.
  EntryCounts counts_;       // Guarded by `mutex_`.
  // Segments whose names are durable. Guarded by `mutex_`.
  std::set<std::int64_t> named_;
  JobThread thread_;
};

// Returns the path of a segment's file.
std::string SegmentPath(const std::string& folder, std::int64_t segment);

}  // namespace comfreyfold

#endif  // STORAGE_SEGMENT_WRITER_H_
