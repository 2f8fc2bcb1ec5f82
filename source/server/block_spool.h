#ifndef SERVER_BLOCK_SPOOL_H_
#define SERVER_BLOCK_SPOOL_H_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>

#include "log/event_log.h"
#include "wire/spool_messages.h"

namespace comfreyfold {

// Blocks of other daemons' lanes on this daemon's disk, one file each, kept
// until their owner knows them in the key-value service. What was answered
// with kDone survives a crash of the daemon and of its VM. Files that cannot
// be written or read throw std::filesystem::filesystem_error.
class BlockSpool {
 public:
  // Opens or makes the folder `spool` below `data_folder`.
  BlockSpool(const std::string& data_folder, EventLog& log);

  // Made once in the folder: an emptied folder is another spool.
  const std::string& id() const { return id_; }

  SpoolAnswer Store(const SpoolRequest& request);
  // From now on blocks of epochs below the request's are refused. Answers
  // the blocks after its number, as many as fit; the rest when asked again.
  SpoolAnswer Seal(const SpoolRequest& request);
  SpoolAnswer Forget(const SpoolRequest& request);

  std::size_t held() const;

 private:
  struct Lane {
    std::int64_t seal = 0;       // Epochs below it are refused.
    std::int64_t forgotten = 0;  // Known in the service up to this number.
    std::map<std::int64_t, std::int64_t> epochs;  // By block number.
  };

  void Load();
  void LoadFile(const std::filesystem::path& path);
  std::filesystem::path BlockPath(int lane, std::int64_t number) const;
  std::filesystem::path SealPath(int lane) const;

  std::filesystem::path folder_;
  EventLog& log_;
  std::string id_;
  std::map<int, Lane> lanes_;
};

}  // namespace comfreyfold

#endif  // SERVER_BLOCK_SPOOL_H_
