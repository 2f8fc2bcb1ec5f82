#ifndef STORAGE_DISK_FILE_H_
#define STORAGE_DISK_FILE_H_

#include <cstdint>
#include <string>

namespace comfreyfold {

// An open file or folder. All functions throw std::runtime_error.
class DiskFile {
 public:
  // `flags` as for open().
  DiskFile(const std::string& path, int flags);
  ~DiskFile();
  DiskFile(const DiskFile&) = delete;
  DiskFile& operator=(const DiskFile&) = delete;

  void Write(const std::string& bytes) const;
  void Sync() const;
  std::int64_t Size() const;
  std::string Read(std::int64_t offset, std::int64_t length) const;

 private:
  std::string path_;
  int fd_;
};

// Makes the names of the files in `folder` durable. Throws std::runtime_error.
void SyncFolder(const std::string& folder);

// Replaces `folder`/`name` by a file with the content `text`. The replacement
// is atomic and durable: after a power failure the file has either the old or
// the new content. Throws std::runtime_error.
void WriteFileDurably(const std::string& folder,
                      const std::string& name,
                      const std::string& text);

// Returns the content of the file, or an empty string if it does not exist.
std::string ReadWholeFile(const std::string& path);

}  // namespace comfreyfold

#endif  // STORAGE_DISK_FILE_H_
