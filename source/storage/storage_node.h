#ifndef STORAGE_STORAGE_NODE_H_
#define STORAGE_STORAGE_NODE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/token_ledger.h"
#include "core/turn_index.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "net/http_server.h"
#include "storage/disk_log.h"
#include "wire/storage_messages.h"

namespace comfreyfold {

// What one disk keeps: turns, token uses, and the newest list of members it
// has heard of. Answers other daemons' storage requests.
class StorageNode {
 public:
  // Reads what the disk has. Throws std::runtime_error.
  StorageNode(Loop& loop,
              FleetView& view,
              DecisionLog& log,
              const std::string& folder,
              int tolerated_losses,
              std::int64_t disk_bytes,
              std::int64_t memory_bytes);

  // Random, made once on the disk: an emptied disk is another one.
  const std::string& disk() const { return disk_; }

  // Answers a request for the disk that `path` names.
  void Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

  // Takes over a newer list, on disk before it counts.
  void Adopt(const StorageList& list);

  // Keeps what another disk has; true when it is on disk here.
  bool Keep(Fiber& fiber, StorageRequest request);

  const TurnIndex& turns() const { return turns_; }
  const TokenLedgers& tokens() const { return tokens_; }

  // Forgets what has expired and removes segments that nothing needs.
  void Expire();

 private:
  StorageReply Answer(Fiber& fiber,
                      const StorageRequest& request,
                      const std::string& encoded);
  StorageReply Store(Fiber& fiber,
                     const StorageRequest& request,
                     const std::string& encoded);
  StorageReply AnswerChain(const StorageRequest& request) const;
  StorageReply AnswerSomeUses(const StorageRequest& request);
  const std::vector<std::string>& GainedBy(const std::string& disk);
  StorageReply AnswerDigest() const;
  StorageReply AnswerFetch(const StorageRequest& request) const;
  bool HasRoom() const;
  void Apply(std::int64_t segment, const StorageRequest& request);
  struct Write;
  // Applies `request` and begins to write it; `encoded` is the same in bytes.
  std::shared_ptr<Write> BeginWrite(const StorageRequest& request,
                                    const std::string& encoded);
  // Waits until it is on disk; false when it did not get there.
  static bool AwaitWrite(Fiber& fiber, const std::shared_ptr<Write>& write);

  Loop& loop_;
  FleetView& view_;
  DecisionLog& log_;
  std::string folder_;
  int tolerated_losses_;
  std::int64_t disk_bytes_;
  std::int64_t memory_bytes_;
  std::string disk_;
  DiskLog disk_log_;
  TurnIndex turns_;
  TokenLedgers tokens_;
  // Programs that each disk gains by the change of the list's epoch, in order.
  std::map<std::string, std::vector<std::string>> gained_;
  std::int64_t gained_epoch_ = 0;
  // Until when each segment is needed for other things than turns.
  std::map<std::int64_t, std::chrono::milliseconds> needed_until_;
};

}  // namespace comfreyfold

#endif  // STORAGE_STORAGE_NODE_H_
