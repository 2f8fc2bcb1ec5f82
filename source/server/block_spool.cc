#include "server/block_spool.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

#include "clients/base64.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

namespace fs = std::filesystem;

constexpr char kIdFile[] = "id";
constexpr char kNewSuffix[] = ".new";
// Limits one answer to about five blocks of the largest size.
constexpr std::size_t kMaxAnswerBytes = 4UL * 1024 * 1024;

// Owns the file descriptor of an open file or folder.
class Descriptor {
 public:
  Descriptor(const fs::path& path, int flags) : path_(path) {
    constexpr int kOwnerOnly = 0600;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg)
    fd_ = ::open(path.c_str(), flags | O_CLOEXEC, kOwnerOnly);
    Check(fd_ >= 0, "open");
  }
  ~Descriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  void Write(const std::string& bytes) const {
    std::size_t written = 0;
    while (written < bytes.size()) {
      const auto n =
          ::write(fd_, bytes.data() + written, bytes.size() - written);
      Check(n > 0 || errno == EINTR, "write");
      written += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
  }
  void Sync() const { Check(::fsync(fd_) == 0, "fsync"); }

 private:
  void Check(bool good, const char* what) const {
    if (!good) {
      throw fs::filesystem_error(
          what, path_, std::error_code(errno, std::generic_category()));
    }
  }

  fs::path path_;
  int fd_ = -1;
};

void SyncFolder(const fs::path& folder) {
  Descriptor(folder, O_RDONLY | O_DIRECTORY).Sync();
}

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    throw fs::filesystem_error("read", path,
                               std::error_code(EIO, std::generic_category()));
  }
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

BlockSpool::BlockSpool(const std::string& data_folder, EventLog& log)
    : folder_(fs::path(data_folder) / "spool"), log_(log) {
  fs::create_directories(folder_);
  SyncFolder(data_folder);
  Load();
  // What an earlier process wrote last may be visible without being durable,
  // and a repeated request to store it is answered without another write.
  SyncFolder(folder_);
  if (id_.empty()) {
    id_ = RandomId();
    WriteDurably(folder_ / kIdFile, id_);
  }
}

void BlockSpool::Load() {
  for (const auto& it : fs::directory_iterator(folder_)) {
    if (it.path().extension() == kNewSuffix) {
      // Left by a write that was interrupted and never answered.
      fs::remove(it.path());
    } else {
      LoadFile(it.path());
    }
  }
}

void BlockSpool::LoadFile(const fs::path& path) {
  const auto name = path.filename().string();
  int lane = 0;
  long long number = 0;
  if (name == kIdFile) {
    id_ = ReadFile(path);
  } else if (std::sscanf(name.c_str(), "block-%d-%lld", &lane, &number) == 2) {
    lanes_[lane].epochs[number] = DecodeLaneBlock(ReadFile(path)).epoch;
  } else if (std::sscanf(name.c_str(), "seal-%d", &lane) == 1) {
    lanes_[lane].seal = std::stoll(ReadFile(path));
  }
}

fs::path BlockSpool::BlockPath(int lane, std::int64_t number) const {
  return folder_ /
         ("block-" + std::to_string(lane) + "-" + std::to_string(number));
}

fs::path BlockSpool::SealPath(int lane) const {
  return folder_ / ("seal-" + std::to_string(lane));
}

// Writes the file atomically: after a crash it has either its old content or
// all of `bytes`.
void BlockSpool::WriteDurably(const fs::path& path,
                              const std::string& bytes) const {
  auto temporary = path;
  temporary += kNewSuffix;
  {
    const Descriptor file(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    file.Write(bytes);
    file.Sync();
  }
  fs::rename(temporary, path);
  SyncFolder(path.parent_path());
  if (on_durable_write_) {
    on_durable_write_();
  }
}

bool BlockSpool::HasBlock(const SpoolRequest& request,
                          const LaneBlock& block) const {
  const auto lane = lanes_.find(request.lane);
  if (lane == lanes_.end()) {
    return false;
  }
  const auto stored = lane->second.epochs.find(block.number);
  return stored != lane->second.epochs.end() && stored->second == block.epoch &&
         ReadFile(BlockPath(request.lane, block.number)) == request.block;
}

SpoolAnswer BlockSpool::Store(const SpoolRequest& request) {
  if (request.spool != id_) {
    return {SpoolStatus::kOtherSpool, {}};
  }
  const auto block = DecodeLaneBlock(request.block);
  auto& lane = lanes_[request.lane];
  const auto stored = lane.epochs.find(block.number);
  // The service already has a block, though not necessarily this one, for every
  // forgotten number; such a request was delayed.
  if (block.epoch < lane.seal || block.number <= lane.forgotten ||
      (stored != lane.epochs.end() && stored->second > block.epoch)) {
    return {SpoolStatus::kSealed, {}};
  }
  // An owner that got no answer in time sends the block again. If each of these
  // requests waited for the disk, a slow one would never answer in time.
  if (HasBlock(request, block)) {
    return {};
  }
  WriteDurably(BlockPath(request.lane, block.number), request.block);
  lane.epochs[block.number] = block.epoch;
  return {};
}

SpoolAnswer BlockSpool::Seal(const SpoolRequest& request) {
  if (request.spool != id_) {
    return {SpoolStatus::kOtherSpool, {}};
  }
  auto& lane = lanes_[request.lane];
  if (request.epoch < lane.seal) {
    return {SpoolStatus::kSealed, {}};
  }
  if (request.epoch > lane.seal) {
    WriteDurably(SealPath(request.lane), std::to_string(request.epoch));
    lane.seal = request.epoch;
    log_.Write({.name = "lane_sealed",
                .lane = request.lane,
                .epoch = request.epoch,
                .detail = std::to_string(lane.epochs.size()) + " blocks held"});
  }
  SpoolAnswer out;
  std::size_t bytes = 0;
  for (auto it = lane.epochs.upper_bound(request.number);
       it != lane.epochs.end() && bytes < kMaxAnswerBytes; ++it) {
    out.blocks.push_back(ReadFile(BlockPath(request.lane, it->first)));
    bytes += out.blocks.back().size();
  }
  return out;
}

SpoolAnswer BlockSpool::Forget(const SpoolRequest& request) {
  if (request.spool != id_) {
    return {SpoolStatus::kOtherSpool, {}};
  }
  auto& lane = lanes_[request.lane];
  lane.forgotten = std::max(lane.forgotten, request.number);
  while (!lane.epochs.empty() && lane.epochs.begin()->first <= request.number) {
    fs::remove(BlockPath(request.lane, lane.epochs.begin()->first));
    lane.epochs.erase(lane.epochs.begin());
  }
  return {};
}

std::size_t BlockSpool::held() const {
  std::size_t out = 0;
  for (const auto& [number, lane] : lanes_) {
    out += lane.epochs.size();
  }
  return out;
}

}  // namespace comfreyfold
