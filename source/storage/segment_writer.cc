#include "storage/segment_writer.h"

#include <fcntl.h>

#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "storage/disk_file.h"

namespace comfreyfold {

namespace {
// The open segment, the next one, and those that entries still wait for.
constexpr std::size_t kMaxNamed = 16;
}  // namespace

std::string SegmentPath(const std::string& folder, std::int64_t segment) {
  return folder + "/segment-" + std::to_string(segment);
}

SegmentWriter::SegmentWriter(std::string folder,
                             std::size_t max_batch_bytes,
                             std::function<bool()> is_refused,
                             EndHook on_end)
    : folder_(std::move(folder)),
      max_batch_bytes_(max_batch_bytes),
      is_refused_(std::move(is_refused)),
      on_end_(std::move(on_end)) {}

void SegmentWriter::Append(Entry entry) {
  entry.queued_at = std::chrono::steady_clock::now();
  entry.syncs_before = syncs_;
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(entry));
  }
  thread_.Post([this] { WriteQueued(); });
}

bool SegmentWriter::HasQueued() {
  const std::lock_guard lock(mutex_);
  return !queue_.empty();
}

void SegmentWriter::MarkNamed(std::int64_t segment) {
  const std::lock_guard lock(mutex_);
  // To forget one costs a further sync of the folder.
  while (named_.size() >= kMaxNamed) {
    named_.erase(named_.begin());
  }
  named_.insert(segment);
}

bool SegmentWriter::IsNamed(std::int64_t segment) {
  const std::lock_guard lock(mutex_);
  return named_.count(segment) > 0;
}

void SegmentWriter::Remove(std::int64_t segment) {
  thread_.Post([path = SegmentPath(folder_, segment)] {
    std::error_code ec;
    std::filesystem::remove(path, ec);
  });
}

EntryCounts SegmentWriter::TakeCounts() {
  const std::lock_guard lock(mutex_);
  return std::exchange(counts_, {});
}

// A job for each entry: one that finds no entry left has nothing to do.
void SegmentWriter::WriteQueued() {
  auto batch = TakeBatch();
  if (batch.empty()) {
    return;
  }
  const bool synced = !is_refused_() && Write(batch);
  Count(batch);
  on_end_(std::move(batch), synced);
}

// Entries of one segment do not wait for the sync of another, nor fail with it.
std::vector<SegmentWriter::Entry> SegmentWriter::TakeBatch() {
  std::vector<Entry> out;
  std::size_t bytes = 0;
  const std::lock_guard lock(mutex_);
  while (!queue_.empty() &&
         (out.empty() ||
          (queue_.front().segment == out.front().segment &&
           bytes + queue_.front().bytes.size() <= max_batch_bytes_))) {
    bytes += queue_.front().bytes.size();
    out.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return out;
}

bool SegmentWriter::Write(const std::vector<Entry>& batch) {
  try {
    std::string bytes;
    for (const auto& it : batch) {
      bytes += it.bytes;
    }
    WriteSegment(batch.front().segment, batch.front().offset, bytes);
  } catch (const std::exception&) {
    // The callers, who are told, write the log lines.
    return false;
  }
  return true;
}

// Entries after a damaged one cannot be read, so nothing is added to a
// segment after a failed write. Entries may still be queued for it, and for
// a later one without those that failed with this one.
void SegmentWriter::WriteSegment(std::int64_t segment,
                                 std::int64_t offset,
                                 const std::string& bytes) {
  const auto path = SegmentPath(folder_, segment);
  if (segment == damaged_segment_) {
    throw std::runtime_error(path + ": an earlier write failed");
  }
  damaged_segment_ = segment;
  const DiskFile file(path, O_WRONLY | O_CREAT | O_APPEND);
  if (file.Size() != offset) {
    throw std::runtime_error(path + ": an entry is missing");
  }
  file.Write(bytes);
  file.Sync();
  ++syncs_;
  if (!IsNamed(segment)) {
    SyncFolder(folder_);
    ++syncs_;
    MarkNamed(segment);
  }
  damaged_segment_ = 0;
}

void SegmentWriter::Count(const std::vector<Entry>& batch) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard lock(mutex_);
  for (const auto& it : batch) {
    counts_.Add(static_cast<std::int64_t>(it.bytes.size()),
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    now - it.queued_at),
                syncs_ - it.syncs_before);
  }
}

}  // namespace comfreyfold
