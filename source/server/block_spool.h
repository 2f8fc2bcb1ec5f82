#ifndef SERVER_BLOCK_SPOOL_H_
#define SERVER_BLOCK_SPOOL_H_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "core/lane_entry.h"
#include "log/event_log.h"
#include "wire/spool_messages.h"

namespace comfreyfold {

// Stores blocks of other daemons' lanes on this daemon's disk, one file per
// block, until their owner reports that they are in the key-value service. A
// request that was answered with kDone survives a crash of the daemon and of
// its VM. Throws std::filesystem::filesystem_error when a file cannot be
// written or read.
class BlockSpool {
 public:
  // Opens the folder `spool` in `data_folder`, and creates it if necessary.
  BlockSpool(const std::string& data_folder, EventLog& log);

  // Identifies the stored data. The id is created with the folder, so a folder
  // that was emptied becomes another spool.
  const std::string& id() const { return id_; }

  SpoolAnswer Store(const SpoolRequest& request);
  // Refuses blocks of epochs below the request's from now on. Returns the
  // blocks after the request's number, as many as fit into one answer; a
  // further request returns the rest.
  SpoolAnswer Seal(const SpoolRequest& request);
  // Deletes the blocks up to the request's number, and refuses to store them
  // again until a restart.
  SpoolAnswer Forget(const SpoolRequest& request);

  // Number of blocks stored, over all lanes.
  std::size_t held() const;

  // The hook runs after each write that waited for the disk.
  void OnDurableWrite(std::function<void()> hook) {
    on_durable_write_ = std::move(hook);
  }

 private:
  struct Lane {
    std::int64_t seal = 0;       // Blocks of epochs below this are refused.
    std::int64_t forgotten = 0;  // Blocks up to this number are in the service.
    std::map<std::int64_t, std::int64_t> epochs;  // By block number.
  };

  void Load();
  void LoadFile(const std::filesystem::path& path);
  void WriteDurably(const std::filesystem::path& path,
                    const std::string& bytes) const;
  // Whether the requested block is on disk already.
  bool HasBlock(const SpoolRequest& request, const LaneBlock& block) const;
  std::filesystem::path BlockPath(int lane, std::int64_t number) const;
  std::filesystem::path SealPath(int lane) const;

  std::filesystem::path folder_;
  EventLog& log_;
  std::string id_;
  std::map<int, Lane> lanes_;
  std::function<void()> on_durable_write_;
};

}  // namespace comfreyfold

#endif  // SERVER_BLOCK_SPOOL_H_
