#include "storage/disk_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace comfreyfold {

namespace {

constexpr int kFileMode = 0644;

[[noreturn]] void ThrowErrno(const std::string& what, const std::string& path) {
  throw std::runtime_error(path + ": " + what + ": " + std::strerror(errno) +
                           "; check the disk");
}

}  // namespace

DiskFile::DiskFile(const std::string& path, int flags)
    : path_(path), fd_(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {
  if (fd_ < 0) {
    ThrowErrno("open", path_);
  }
}

DiskFile::~DiskFile() {
  ::close(fd_);
}

void DiskFile::Write(const std::string& bytes) const {
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

void DiskFile::Sync() const {
  if (::fsync(fd_) != 0) {
    ThrowErrno("sync", path_);
  }
}

std::int64_t DiskFile::Size() const {
  struct stat status {};
  if (::fstat(fd_, &status) != 0) {
    ThrowErrno("stat", path_);
  }
  return status.st_size;
}

std::string DiskFile::Read(std::int64_t offset, std::int64_t length) const {
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

void SyncFolder(const std::string& folder) {
  DiskFile(folder, O_RDONLY | O_DIRECTORY).Sync();
}

void WriteFileDurably(const std::string& folder,
                      const std::string& name,
                      const std::string& text) {
  const auto path = folder + "/" + name;
  const auto temporary_path = path + ".new";
  {
    const DiskFile file(temporary_path, O_WRONLY | O_CREAT | O_TRUNC);
    file.Write(text);
    file.Sync();
  }
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) {
    ThrowErrno("rename", path);
  }
  SyncFolder(folder);
}

std::string ReadWholeFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace comfreyfold
