#include "storage/disk_log.h"

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <filesystem>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "core/hash.h"
#include "storage/job_thread.h"
#include "storage/segment_writer.h"

namespace comfreyfold {

namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kSegmentBytes = 4 * 1024 * 1024;
// A segment may be larger by this if that spares the entries that wait together
// a sync of a second one.
constexpr std::int64_t kMaxSegmentExcess = 512 * 1024;
// A large sync in the background would slow the others of the device down.
constexpr std::size_t kMaxBackgroundBatch = 1024 * 1024;
// Each entry is preceded by its length and its checksum in host byte order.
constexpr std::size_t kHeaderBytes = 4 + 8;
constexpr std::uint32_t kMaxEntryBytes = 64 * 1024 * 1024;
constexpr const char* kSegmentPrefix = "segment-";
// Of the file and of the folder.
constexpr int kSyncsPerFile = 2;

std::string AddHeader(const std::string& entry) {
  const auto length = static_cast<std::uint32_t>(entry.size());
  const auto checksum = Hash64(entry);
  std::string out(kHeaderBytes, '\0');
  std::memcpy(out.data(), &length, sizeof length);
  std::memcpy(out.data() + sizeof length, &checksum, sizeof checksum);
  return out + entry;
}

// Returns the entry at the beginning of `bytes`; empty if it is damaged.
std::string EntryIn(std::string_view bytes) {
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
  if (bytes.size() < kHeaderBytes) {
    return "";
  }
  std::memcpy(&length, bytes.data(), sizeof length);
  std::memcpy(&checksum, bytes.data() + sizeof length, sizeof checksum);
  if (length > kMaxEntryBytes || kHeaderBytes + length > bytes.size()) {
    return "";
  }
  std::string out(bytes.substr(kHeaderBytes, length));
  return Hash64(out) == checksum ? out : "";
}

// Passes the entries of a segment to `on_entry`, up to the first damaged one.
void ReadEntries(std::int64_t segment,
                 const std::string& bytes,
                 const std::function<void(const LogPosition&,
                                          const std::string&)>& on_entry) {
  std::size_t offset = 0;
  for (;;) {
    const auto entry = EntryIn(std::string_view(bytes).substr(offset));
    if (entry.empty()) {
      return;
    }
    const auto size = kHeaderBytes + entry.size();
    on_entry({segment, static_cast<std::int64_t>(offset),
              static_cast<std::int64_t>(size)},
             entry);
    offset += size;
  }
}

}  // namespace

// Entries of each kind have a thread and an open segment of their own, the
// files that are replaced another thread, and so have the segments that are
// named ahead: a sync of one does not wait for those of the others.
struct DiskLog::Impl : std::enable_shared_from_this<DiskLog::Impl> {
  struct Lane {
    std::unique_ptr<SegmentWriter> writer;
    std::int64_t segment = 0;  // The open one; 0: none.
    std::int64_t bytes = 0;    // Of the open segment.
    std::int64_t next = 0;     // Whose name is made durable ahead; 0: none.
  };

  Impl(Loop& owner, std::string path) : loop(owner), folder(std::move(path)) {
    for (const auto& it : fs::directory_iterator(folder)) {
      const auto name = it.path().filename().string();
      if (name.rfind(kSegmentPrefix, 0) == 0) {
        const auto segment =
            std::stoll(name.substr(std::strlen(kSegmentPrefix)));
        closed_segments.insert(segment);
        AddBytes(segment, static_cast<std::int64_t>(it.file_size()));
      }
    }
    // Each start opens new segments: the end of the last ones may have been
    // torn by a crash, and entries after a damaged one cannot be read.
    if (!closed_segments.empty()) {
      last_segment = last_number = *closed_segments.rbegin();
    }
    MakeLane(WriteKind::kForeground, std::numeric_limits<std::size_t>::max());
    MakeLane(WriteKind::kBackground, kMaxBackgroundBatch);
  }

  // The writers have been stopped when this object ends.
  void MakeLane(WriteKind kind, std::size_t max_batch_bytes) {
    Of(kind).writer = std::make_unique<SegmentWriter>(
        folder, max_batch_bytes, [this, kind] { return IsRefused(kind); },
        [this, kind](std::vector<SegmentWriter::Entry> batch, bool synced) {
          loop.Post([self = shared_from_this(), kind, synced,
                     entries = std::move(batch)] {
            self->EndBatch(kind, entries, synced);
          });
        });
  }

  Lane& Of(WriteKind kind) { return lanes.at(static_cast<std::size_t>(kind)); }

  void AddBytes(std::int64_t segment, std::int64_t bytes) {
    segment_bytes[segment] += bytes;
    size_bytes += bytes;
  }

  std::vector<std::string> ReadAll(const std::vector<LogPosition>& positions,
                                   TimePoint until) const {
    std::vector<std::string> out(positions.size());
    std::optional<DiskFile> file;
    std::int64_t opened = 0;
    for (std::size_t n = 0; n < positions.size(); ++n) {
      const auto& it = positions[n];
      // After a stall, what nobody waits for any more would delay the rest.
      if (std::chrono::steady_clock::now() >= until) {
        break;
      }
      try {
        if (it.segment != opened) {
          opened = 0;
          file.emplace(SegmentPath(folder, it.segment), O_RDONLY);
          opened = it.segment;
        }
        out[n] = EntryIn(file->Read(it.offset, it.length));
      } catch (const std::exception&) {
        // Empty tells the caller, which writes the log line.
        out[n].clear();
      }
    }
    return out;
  }

  bool IsRefused(WriteKind kind) {
    std::function<void(WriteKind)> hook;
    {
      const std::lock_guard lock(mutex);
      hook = before_write;
    }
    try {
      if (hook) {
        hook(kind);
      }
    } catch (const std::exception&) {
      return true;
    }
    return false;
  }

  bool Replace(const std::string& name, const std::string& text) {
    if (IsRefused(WriteKind::kFile)) {
      return false;
    }
    try {
      WriteFileDurably(folder, name, text);
    } catch (const std::exception&) {
      // The caller, which is told, writes the log line.
      return false;
    }
    ++files_replaced;
    return true;
  }

  void EndBatch(WriteKind kind,
                const std::vector<SegmentWriter::Entry>& batch,
                bool synced) {
    pending -= batch.size();
    for (const auto& it : batch) {
      pending_bytes -= it.bytes.size();
      const auto left = pending_by_segment.find(it.segment);
      if (--left->second == 0) {
        pending_by_segment.erase(left);
      }
    }
    if (!synced) {
      // Entries after a failed write in the same segment could not be read.
      OpenNextSegment(Of(kind));
    }
    for (const auto& it : batch) {
      if (it.done) {
        it.done(synced);
      }
    }
  }

  void OpenNextSegment(Lane& lane) {
    if (lane.segment != 0) {
      closed_segments.insert(lane.segment);
    }
    lane.segment = lane.next != 0 ? std::exchange(lane.next, 0) : ++last_number;
    lane.bytes = 0;
    last_segment = std::max(last_segment, lane.segment);
  }

  bool IsFull(const Lane& lane, std::int64_t size) const {
    const auto bytes = lane.bytes + size;
    return lane.bytes > 0 && bytes > kSegmentBytes &&
           (bytes > kSegmentBytes + kMaxSegmentExcess ||
            !lane.writer->HasQueued());
  }

  // The first entries of a segment would wait for a sync of the folder.
  void NameNextSegment(Lane& lane) {
    lane.next = ++last_number;
    namer.Post([this, segment = lane.next, writer = lane.writer.get()] {
      try {
        DiskFile(SegmentPath(folder, segment), O_WRONLY | O_CREAT).Sync();
        SyncFolder(folder);
      } catch (const std::exception&) {
        // The first write to the segment tries again.
        return;
      }
      ++segments_named;
      writer->MarkNamed(segment);
    });
  }

  Loop& loop;
  std::string folder;
  std::set<std::int64_t> closed_segments;
  std::int64_t last_segment = 0;  // The newest that was opened; 0: none.
  std::int64_t last_number = 0;   // Of a segment, also of one not opened yet.
  std::map<std::int64_t, std::int64_t> segment_bytes;
  std::int64_t size_bytes = 0;
  std::size_t pending = 0;  // Entries not synced yet.
  std::size_t pending_bytes = 0;
  std::map<std::int64_t, std::size_t> pending_by_segment;
  int counted_syncs = 0;  // Those told by TakeWriteCounts().
  int counted_files = 0;

  std::atomic<int> files_replaced{0};
  std::atomic<int> segments_named{0};  // Ahead.
  std::mutex mutex;
  std::function<void(WriteKind)> before_write;  // Guarded by `mutex`.
  std::array<Lane, 2> lanes;
  JobThread file_writer;
  JobThread namer;
  JobThread reader;
};

DiskLog::DiskLog(Loop& loop, std::string folder)
    : impl_(std::make_shared<Impl>(loop, std::move(folder))) {}

DiskLog::~DiskLog() {
  for (auto& it : impl_->lanes) {
    it.writer->Stop();
  }
  impl_->file_writer.Stop();
  impl_->namer.Stop();
  impl_->reader.Stop();
}

void DiskLog::Replay(const std::function<void(const LogPosition&,
                                              const std::string&)>& on_entry) {
  for (const auto segment : impl_->closed_segments) {
    const auto path = SegmentPath(impl_->folder, segment);
    DiskFile(path, O_RDWR).Sync();
    ReadEntries(segment, ReadWholeFile(path), on_entry);
  }
  SyncFolder(impl_->folder);
}

void DiskLog::Read(std::vector<LogPosition> positions,
                   TimePoint until,
                   std::function<void(std::vector<std::string>)> done) {
  impl_->reader.Post([impl = impl_.get(), positions = std::move(positions),
                      until, done = std::move(done)]() mutable {
    impl->loop.Post(
        [entries = impl->ReadAll(positions, until),
         done = std::move(done)]() mutable { done(std::move(entries)); });
  });
}

LogPosition DiskLog::Append(const std::string& entry,
                            std::function<void(bool)> done,
                            WriteKind kind) {
  SegmentWriter::Entry out;
  out.bytes = AddHeader(entry);
  out.done = std::move(done);
  const auto size = static_cast<std::int64_t>(out.bytes.size());
  auto& lane = impl_->Of(kind);
  if (lane.segment == 0 || impl_->IsFull(lane, size)) {
    impl_->OpenNextSegment(lane);
  }
  out.segment = lane.segment;
  out.offset = lane.bytes;
  const LogPosition position{out.segment, out.offset, size};
  lane.bytes += size;
  if (lane.next == 0 && lane.bytes >= kSegmentBytes / 2) {
    impl_->NameNextSegment(lane);
  }
  impl_->AddBytes(lane.segment, size);
  ++impl_->pending;
  ++impl_->pending_by_segment[lane.segment];
  impl_->pending_bytes += out.bytes.size();
  lane.writer->Append(std::move(out));
  return position;
}

void DiskLog::ReplaceFile(const std::string& name,
                          const std::string& text,
                          std::function<void(bool)> done) {
  impl_->file_writer.Post(
      [impl = impl_.get(), name, text, done = std::move(done)] {
        const bool replaced = impl->Replace(name, text);
        if (done) {
          impl->loop.Post([replaced, done] { done(replaced); });
        }
      });
}

void DiskLog::BeforeWrite(std::function<void(WriteKind)> hook) {
  const std::lock_guard lock(impl_->mutex);
  impl_->before_write = std::move(hook);
}

DiskWriteCounts DiskLog::TakeWriteCounts() {
  DiskWriteCounts out;
  auto& foreground = *impl_->Of(WriteKind::kForeground).writer;
  auto& background = *impl_->Of(WriteKind::kBackground).writer;
  out.foreground = foreground.TakeCounts();
  out.background = background.TakeCounts();
  const int files = impl_->files_replaced;
  const int syncs = foreground.syncs() + background.syncs() +
                    (files + impl_->segments_named) * kSyncsPerFile;
  out.syncs = syncs - std::exchange(impl_->counted_syncs, syncs);
  out.files = files - std::exchange(impl_->counted_files, files);
  return out;
}

// In the background: a file system may be slow to free the blocks.
void DiskLog::Remove(std::int64_t segment) {
  if (impl_->closed_segments.erase(segment) == 0) {
    return;
  }
  impl_->size_bytes -= impl_->segment_bytes[segment];
  impl_->segment_bytes.erase(segment);
  impl_->Of(WriteKind::kBackground).writer->Remove(segment);
}

std::vector<std::int64_t> DiskLog::ClosedSegments() const {
  return {impl_->closed_segments.begin(), impl_->closed_segments.end()};
}

std::int64_t DiskLog::current_segment() const {
  const auto& lanes = impl_->lanes;
  const bool is_open =
      std::any_of(lanes.begin(), lanes.end(),
                  [](const auto& it) { return it.segment != 0; });
  return impl_->last_segment + (is_open ? 0 : 1);
}

bool DiskLog::IsWritten(std::int64_t segment) const {
  return impl_->closed_segments.count(segment) > 0 &&
         impl_->pending_by_segment.count(segment) == 0;
}

std::size_t DiskLog::backlog() const {
  return impl_->pending;
}

std::size_t DiskLog::backlog_bytes() const {
  return impl_->pending_bytes;
}

std::int64_t DiskLog::SegmentBytes(std::int64_t segment) const {
  const auto it = impl_->segment_bytes.find(segment);
  return it == impl_->segment_bytes.end() ? 0 : it->second;
}

std::int64_t DiskLog::size_bytes() const {
  return impl_->size_bytes;
}

}  // namespace comfreyfold
