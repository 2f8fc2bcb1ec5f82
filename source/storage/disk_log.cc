#include "storage/disk_log.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "core/hash.h"

namespace comfreyfold {

namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kSegmentBytes = 4 * 1024 * 1024;
// Each entry is preceded by its length and its checksum in host byte order.
constexpr std::size_t kHeaderBytes = 4 + 8;
constexpr std::uint32_t kMaxEntryBytes = 64 * 1024 * 1024;
constexpr const char* kSegmentPrefix = "segment-";
constexpr int kFileMode = 0644;
// Of the file and of the folder.
constexpr int kSyncsPerReplacement = 2;

[[noreturn]] void ThrowErrno(const std::string& what, const std::string& path) {
  throw std::runtime_error(path + ": " + what + ": " + std::strerror(errno) +
                           "; check the disk");
}

class File {
 public:
  File(const std::string& path, int flags)
      : path_(path), fd_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {
    if (fd_ < 0) {
      ThrowErrno("open", path_);
    }
  }
  ~File() { ::close(fd_); }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  void Write(const std::string& bytes) const {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto n = ::write(fd_, bytes.data() + done, bytes.size() - done);
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        ThrowErrno("write", path_);
      }
      done += static_cast<std::size_t>(n);
    }
  }

  void Sync() const {
    if (::fsync(fd_) != 0) {
      ThrowErrno("sync", path_);
    }
  }

  std::int64_t Size() const {
    struct stat status {};
    if (::fstat(fd_, &status) != 0) {
      ThrowErrno("stat", path_);
    }
    return status.st_size;
  }

  std::string Read(std::int64_t offset, std::int64_t length) const {
    std::string out(static_cast<std::size_t>(length), '\0');
    if (::lseek(fd_, offset, SEEK_SET) < 0) {
      ThrowErrno("seek", path_);
    }
    std::size_t done = 0;
    while (done < out.size()) {
      const auto n = ::read(fd_, out.data() + done, out.size() - done);
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        ThrowErrno("read", path_);
      }
      done += static_cast<std::size_t>(n);
    }
    return out;
  }

 private:
  std::string path_;
  int fd_;
};

void SyncFolder(const std::string& folder) {
  File(folder, O_RDONLY | O_DIRECTORY).Sync();
}

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

std::string ReadWholeFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void WriteFileDurably(const std::string& folder,
                      const std::string& name,
                      const std::string& text) {
  const auto path = folder + "/" + name;
  const auto temporary_path = path + ".new";
  {
    const File file(temporary_path, O_WRONLY | O_CREAT | O_TRUNC);
    file.Write(text);
    file.Sync();
  }
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) {
    ThrowErrno("rename", path);
  }
  SyncFolder(folder);
}

struct DiskLog::Impl : std::enable_shared_from_this<DiskLog::Impl> {
  struct Entry {
    std::string bytes;
    std::int64_t segment;
    std::int64_t offset;
    std::function<void(bool)> done;
    WriteKind kind;
    TimePoint queued_at;
    int syncs_before;  // Of the writer thread when the entry was queued.
  };

  struct FileReplacement {
    std::string name;
    std::string text;
    std::function<void(bool)> done;
  };

  struct Reading {
    std::vector<LogPosition> positions;
    TimePoint until;
    std::function<void(std::vector<std::string>)> done;
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
    // Each start opens a new segment: the end of the last one may have been
    // torn by a crash, and entries after a damaged one cannot be read.
    open_segment = closed_segments.empty() ? 1 : *closed_segments.rbegin() + 1;
  }

  std::string Path(std::int64_t segment) const {
    return folder + "/" + kSegmentPrefix + std::to_string(segment);
  }

  void RunWriter() {
    for (;;) {
      std::vector<Entry> batch;
      std::vector<std::int64_t> removals;
      std::deque<FileReplacement> replacements;
      std::function<void()> hook;
      {
        std::unique_lock lock(mutex);
        work_available.wait(lock, [this] {
          return stopping || !queue.empty() || !segments_to_remove.empty() ||
                 !files_to_replace.empty();
        });
        if (stopping) {
          return;
        }
        batch.assign(std::make_move_iterator(queue.begin()),
                     std::make_move_iterator(queue.end()));
        queue.clear();
        removals.swap(segments_to_remove);
        replacements.swap(files_to_replace);
        hook = before_write;
      }
      RemoveFiles(removals);
      const bool refused = hook && (!replacements.empty() || !batch.empty()) &&
                           IsRefusedBy(hook);
      for (auto& it : replacements) {
        Replace(std::move(it), refused);
      }
      if (!batch.empty()) {
        Write(std::move(batch), refused);
      }
    }
  }

  void AddBytes(std::int64_t segment, std::int64_t bytes) {
    segment_bytes[segment] += bytes;
    size_bytes += bytes;
  }

  void RunReader() {
    for (;;) {
      Reading reading;
      {
        std::unique_lock lock(mutex);
        readings_available.wait(
            lock, [this] { return stopping || !readings.empty(); });
        if (stopping) {
          return;
        }
        reading = std::move(readings.front());
        readings.pop_front();
      }
      loop.Post([entries = ReadAll(reading.positions, reading.until),
                 done = std::move(reading.done)]() mutable {
        done(std::move(entries));
      });
    }
  }

  std::vector<std::string> ReadAll(const std::vector<LogPosition>& positions,
                                   TimePoint until) const {
    std::vector<std::string> out(positions.size());
    std::optional<File> file;
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
          file.emplace(Path(it.segment), O_RDONLY);
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

  void RemoveFiles(const std::vector<std::int64_t>& numbers) const {
    for (const auto it : numbers) {
      std::error_code ec;
      fs::remove(Path(it), ec);
    }
  }

  static bool IsRefusedBy(const std::function<void()>& hook) {
    try {
      hook();
    } catch (const std::exception&) {
      return true;
    }
    return false;
  }

  void RefuseIf(bool refused) const {
    if (refused) {
      throw std::runtime_error(folder + ": the write was refused");
    }
  }

  void Replace(FileReplacement replacement, bool refused) {
    bool replaced = true;
    try {
      RefuseIf(refused);
      WriteFileDurably(folder, replacement.name, replacement.text);
      CountSyncs(kSyncsPerReplacement);
      ++files_replaced;
    } catch (const std::exception&) {
      // The caller, which is told, writes the log line.
      replaced = false;
    }
    loop.Post([replaced, done = std::move(replacement.done)] {
      if (done) {
        done(replaced);
      }
    });
  }

  void Write(std::vector<Entry> batch, bool refused) {
    bool synced = true;
    try {
      RefuseIf(refused);
      std::size_t first = 0;
      while (first < batch.size()) {
        std::string bytes;
        const auto segment = batch[first].segment;
        const auto offset = batch[first].offset;
        while (first < batch.size() && batch[first].segment == segment) {
          bytes += batch[first++].bytes;
        }
        WriteSegment(segment, offset, bytes);
      }
    } catch (const std::exception&) {
      synced = false;
    }
    Count(batch);
    loop.Post([self = shared_from_this(), synced, batch = std::move(batch)] {
      self->pending -= batch.size();
      for (const auto& it : batch) {
        self->pending_bytes -= it.bytes.size();
        self->EndEntryOf(it.segment);
      }
      if (!synced) {
        // Entries after a failed write in the same segment could not be read.
        self->OpenNextSegment();
      }
      for (const auto& it : batch) {
        if (it.done) {
          it.done(synced);
        }
      }
    });
  }

  // Entries after a damaged one cannot be read, so nothing is added to a
  // segment after a failed write. Entries may still be queued for it, and for
  // a later one without those that failed with this one.
  void WriteSegment(std::int64_t segment,
                    std::int64_t offset,
                    const std::string& bytes) {
    if (segment == damaged_segment) {
      throw std::runtime_error(Path(segment) + ": an earlier write failed");
    }
    damaged_segment = segment;
    const File file(Path(segment), O_WRONLY | O_CREAT | O_APPEND);
    if (file.Size() != offset) {
      throw std::runtime_error(Path(segment) + ": an entry is missing");
    }
    file.Write(bytes);
    file.Sync();
    CountSyncs(1);
    if (segment != named_segment) {
      SyncFolder(folder);
      CountSyncs(1);
      named_segment = segment;
    }
    damaged_segment = 0;
  }

  void CountSyncs(int n) { syncs += n; }

  void Count(const std::vector<Entry>& batch) {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(mutex);
    for (const auto& it : batch) {
      counts.Of(it.kind).Add(
          static_cast<std::int64_t>(it.bytes.size()),
          std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                it.queued_at),
          syncs - it.syncs_before);
    }
  }

  void EndEntryOf(std::int64_t segment) {
    const auto it = pending_by_segment.find(segment);
    if (--it->second == 0) {
      pending_by_segment.erase(it);
    }
  }

  void OpenNextSegment() {
    closed_segments.insert(open_segment);
    ++open_segment;
    open_segment_bytes = 0;
  }

  Loop& loop;
  std::string folder;
  std::set<std::int64_t> closed_segments;
  std::int64_t open_segment = 1;
  std::int64_t open_segment_bytes = 0;
  std::map<std::int64_t, std::int64_t> segment_bytes;
  std::int64_t size_bytes = 0;
  std::size_t pending = 0;  // Entries not synced yet.
  std::size_t pending_bytes = 0;
  std::map<std::int64_t, std::size_t> pending_by_segment;

  // Used by the writer thread only.
  std::int64_t damaged_segment = 0;  // 0: none.
  std::int64_t named_segment = 0;    // The last one whose name is durable.

  std::mutex mutex;
  std::condition_variable work_available;
  std::condition_variable readings_available;
  std::deque<Reading> readings;                  // Guarded by `mutex`.
  std::deque<Entry> queue;                       // Guarded by `mutex`.
  std::vector<std::int64_t> segments_to_remove;  // Guarded by `mutex`.
  std::deque<FileReplacement> files_to_replace;  // Guarded by `mutex`.
  std::function<void()> before_write;            // Guarded by `mutex`.
  DiskWriteCounts counts;                        // Guarded by `mutex`.
  std::atomic<int> syncs{0};                     // Since the start.
  std::atomic<int> files_replaced{0};
  int counted_syncs = 0;  // Those told by TakeWriteCounts().
  int counted_files = 0;
  bool stopping = false;  // Guarded by `mutex`.
  std::thread thread;
  std::thread reader;  // Started by the first reading.
};

DiskLog::DiskLog(Loop& loop, std::string folder)
    : impl_(std::make_shared<Impl>(loop, std::move(folder))) {
  impl_->thread = std::thread([impl = impl_.get()] { impl->RunWriter(); });
}

DiskLog::~DiskLog() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->work_available.notify_all();
  impl_->readings_available.notify_all();
  impl_->thread.join();
  if (impl_->reader.joinable()) {
    impl_->reader.join();
  }
}

void DiskLog::Replay(const std::function<void(const LogPosition&,
                                              const std::string&)>& on_entry) {
  for (const auto segment : impl_->closed_segments) {
    const auto path = impl_->Path(segment);
    File(path, O_RDWR).Sync();
    ReadEntries(segment, ReadWholeFile(path), on_entry);
  }
  SyncFolder(impl_->folder);
}

void DiskLog::Read(std::vector<LogPosition> positions,
                   TimePoint until,
                   std::function<void(std::vector<std::string>)> done) {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->readings.push_back({std::move(positions), until, std::move(done)});
  }
  if (!impl_->reader.joinable()) {
    impl_->reader = std::thread([impl = impl_.get()] { impl->RunReader(); });
  }
  impl_->readings_available.notify_all();
}

LogPosition DiskLog::Append(const std::string& entry,
                            std::function<void(bool)> done,
                            WriteKind kind) {
  auto bytes = AddHeader(entry);
  const auto size = static_cast<std::int64_t>(bytes.size());
  if (impl_->open_segment_bytes > 0 &&
      impl_->open_segment_bytes + size > kSegmentBytes) {
    impl_->OpenNextSegment();
  }
  const auto segment = impl_->open_segment;
  const LogPosition position{segment, impl_->open_segment_bytes, size};
  impl_->open_segment_bytes += size;
  impl_->AddBytes(segment, size);
  ++impl_->pending;
  ++impl_->pending_by_segment[segment];
  impl_->pending_bytes += bytes.size();
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->queue.push_back({std::move(bytes), segment, position.offset,
                            std::move(done), kind,
                            std::chrono::steady_clock::now(), impl_->syncs});
  }
  impl_->work_available.notify_all();
  return position;
}

void DiskLog::ReplaceFile(const std::string& name,
                          const std::string& text,
                          std::function<void(bool)> done) {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->files_to_replace.push_back({name, text, std::move(done)});
  }
  impl_->work_available.notify_all();
}

void DiskLog::BeforeWrite(std::function<void()> hook) {
  const std::lock_guard lock(impl_->mutex);
  impl_->before_write = std::move(hook);
}

DiskWriteCounts DiskLog::TakeWriteCounts() {
  DiskWriteCounts out;
  {
    const std::lock_guard lock(impl_->mutex);
    out = std::exchange(impl_->counts, {});
  }
  const int syncs = impl_->syncs;
  const int files = impl_->files_replaced;
  out.syncs = syncs - std::exchange(impl_->counted_syncs, syncs);
  out.files = files - std::exchange(impl_->counted_files, files);
  return out;
}

void DiskLog::Remove(std::int64_t segment) {
  if (impl_->closed_segments.erase(segment) == 0) {
    return;
  }
  impl_->size_bytes -= impl_->segment_bytes[segment];
  impl_->segment_bytes.erase(segment);
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->segments_to_remove.push_back(segment);
  }
  impl_->work_available.notify_all();
}

std::vector<std::int64_t> DiskLog::ClosedSegments() const {
  return {impl_->closed_segments.begin(), impl_->closed_segments.end()};
}

std::int64_t DiskLog::current_segment() const {
  return impl_->open_segment;
}

std::int64_t DiskLog::first_unwritten_segment() const {
  const auto& pending = impl_->pending_by_segment;
  return pending.empty() ? impl_->open_segment : pending.begin()->first;
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
