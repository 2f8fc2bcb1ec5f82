#include "storage/disk_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

#include "core/hash.h"

namespace comfreyfold {

namespace {

namespace fs = std::filesystem;

constexpr std::int64_t kSegmentBytes = 4 * 1024 * 1024;
// Before each entry: its length, then its checksum, in host order.
constexpr std::size_t kHeadBytes = 4 + 8;
constexpr std::uint32_t kLongestEntry = 64 * 1024 * 1024;
constexpr const char* kSegmentPrefix = "segment-";
constexpr int kFileMode = 0644;

[[noreturn]] void Fail(const std::string& what, const std::string& path) {
  throw std::runtime_error(path + ": " + what + ": " + std::strerror(errno) +
                           "; check the disk");
}

class File {
 public:
  File(const std::string& path, int flags)
      : path_(path), fd_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {
    if (fd_ < 0) {
      Fail("open", path_);
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
        Fail("write", path_);
      }
      done += static_cast<std::size_t>(n);
    }
  }

  void Sync() const {
    if (::fsync(fd_) != 0) {
      Fail("sync", path_);
    }
  }

 private:
  std::string path_;
  int fd_;
};

void SyncFolder(const std::string& folder) {
  File(folder, O_RDONLY | O_DIRECTORY).Sync();
}

std::string Framed(const std::string& entry) {
  const auto length = static_cast<std::uint32_t>(entry.size());
  const auto sum = Hash64(entry);
  std::string out(kHeadBytes, '\0');
  std::memcpy(out.data(), &length, sizeof length);
  std::memcpy(out.data() + sizeof length, &sum, sizeof sum);
  return out + entry;
}

// Tells the whole entries of a segment up to the first damaged one.
void ReadEntries(const std::string& bytes,
                 const std::function<void(const std::string&)>& on_entry) {
  std::size_t at = 0;
  while (at + kHeadBytes <= bytes.size()) {
    std::uint32_t length = 0;
    std::uint64_t sum = 0;
    std::memcpy(&length, bytes.data() + at, sizeof length);
    std::memcpy(&sum, bytes.data() + at + sizeof length, sizeof sum);
    at += kHeadBytes;
    if (length == 0 || length > kLongestEntry || at + length > bytes.size()) {
      return;
    }
    const auto entry = bytes.substr(at, length);
    if (Hash64(entry) != sum) {
      return;
    }
    on_entry(entry);
    at += length;
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
  const auto draft = path + ".new";
  {
    const File file(draft, O_WRONLY | O_CREAT | O_TRUNC);
    file.Write(text);
    file.Sync();
  }
  if (::rename(draft.c_str(), path.c_str()) != 0) {
    Fail("rename", path);
  }
  SyncFolder(folder);
}

struct DiskLog::Impl : std::enable_shared_from_this<DiskLog::Impl> {
  struct Entry {
    std::string bytes;
    std::int64_t segment;
    std::function<void(bool)> done;
  };

  Impl(Loop& owner, std::string path) : loop(owner), folder(std::move(path)) {
    for (const auto& it : fs::directory_iterator(folder)) {
      const auto name = it.path().filename().string();
      if (name.rfind(kSegmentPrefix, 0) == 0) {
        segments.insert(std::stoll(name.substr(std::strlen(kSegmentPrefix))));
      }
    }
    // Never appended to what a crash may have torn.
    current = segments.empty() ? 1 : *segments.rbegin() + 1;
  }

  std::string Path(std::int64_t segment) const {
    return folder + "/" + kSegmentPrefix + std::to_string(segment);
  }

  void Run() {
    for (;;) {
      std::vector<Entry> batch;
      std::vector<std::int64_t> to_remove;
      {
        std::unique_lock lock(mutex);
        wake.wait(lock, [this] {
          return stopping || !queue.empty() || !removed.empty();
        });
        if (stopping) {
          return;
        }
        batch.assign(std::make_move_iterator(queue.begin()),
                     std::make_move_iterator(queue.end()));
        queue.clear();
        to_remove.swap(removed);
      }
      RemoveFiles(to_remove);
      if (!batch.empty()) {
        Write(std::move(batch));
      }
    }
  }

  void RemoveFiles(const std::vector<std::int64_t>& numbers) const {
    for (const auto it : numbers) {
      std::error_code ec;
      fs::remove(Path(it), ec);
    }
  }

  void Write(std::vector<Entry> batch) {
    bool written = true;
    try {
      std::size_t first = 0;
      while (first < batch.size()) {
        std::string bytes;
        const auto segment = batch[first].segment;
        while (first < batch.size() && batch[first].segment == segment) {
          bytes += batch[first++].bytes;
        }
        const File file(Path(segment), O_WRONLY | O_CREAT | O_APPEND);
        file.Write(bytes);
        file.Sync();
      }
    } catch (const std::exception&) {
      written = false;
    }
    loop.Post([self = shared_from_this(), written, batch = std::move(batch)] {
      self->waiting -= batch.size();
      if (!written) {
        // What follows a failed write in its segment could not be read.
        self->StartSegment();
      }
      for (const auto& it : batch) {
        if (it.done) {
          it.done(written);
        }
      }
    });
  }

  void StartSegment() {
    segments.insert(current);
    ++current;
    current_bytes = 0;
  }

  Loop& loop;
  std::string folder;
  std::set<std::int64_t> segments;  // Earlier ones.
  std::int64_t current = 1;
  std::int64_t current_bytes = 0;
  std::size_t waiting = 0;

  std::mutex mutex;
  std::condition_variable wake;
  std::deque<Entry> queue;            // Guarded by `mutex`.
  std::vector<std::int64_t> removed;  // Guarded by `mutex`.
  bool stopping = false;              // Guarded by `mutex`.
  std::thread thread;
};

DiskLog::DiskLog(Loop& loop, std::string folder)
    : impl_(std::make_shared<Impl>(loop, std::move(folder))) {
  impl_->thread = std::thread([impl = impl_.get()] { impl->Run(); });
}

DiskLog::~DiskLog() {
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->stopping = true;
  }
  impl_->wake.notify_all();
  impl_->thread.join();
}

void DiskLog::Replay(
    const std::function<void(std::int64_t, const std::string&)>& on_entry) {
  for (const auto segment : impl_->segments) {
    const auto path = impl_->Path(segment);
    File(path, O_RDWR).Sync();
    ReadEntries(ReadWholeFile(path),
                [&](const std::string& entry) { on_entry(segment, entry); });
  }
  SyncFolder(impl_->folder);
}

std::int64_t DiskLog::Append(const std::string& entry,
                             std::function<void(bool)> done) {
  auto bytes = Framed(entry);
  if (impl_->current_bytes > 0 &&
      impl_->current_bytes + static_cast<std::int64_t>(bytes.size()) >
          kSegmentBytes) {
    impl_->StartSegment();
  }
  impl_->current_bytes += static_cast<std::int64_t>(bytes.size());
  const auto segment = impl_->current;
  ++impl_->waiting;
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->queue.push_back({std::move(bytes), segment, std::move(done)});
  }
  impl_->wake.notify_all();
  return segment;
}

void DiskLog::Remove(std::int64_t segment) {
  if (impl_->segments.erase(segment) == 0) {
    return;
  }
  {
    const std::lock_guard lock(impl_->mutex);
    impl_->removed.push_back(segment);
  }
  impl_->wake.notify_all();
}

std::int64_t DiskLog::current_segment() const {
  return impl_->current;
}

std::size_t DiskLog::backlog() const {
  return impl_->waiting;
}

}  // namespace comfreyfold
