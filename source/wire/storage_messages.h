#ifndef WIRE_STORAGE_MESSAGES_H_
#define WIRE_STORAGE_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/storage_list.h"
#include "core/token_ledger.h"
#include "core/turn_record.h"

namespace comfreyfold {

enum class StorageOperation {
  kStore = 0,   // Keep turns, uses and `keep_until`; answers when on disk.
  kChain = 1,   // The turn ids[0] and those before it that are held.
  kUses = 2,    // What `program` has used.
  kDigest = 3,  // The ids of all turns held.
  kFetch = 4,   // The turns `ids`.
  // What the programs after `program` have used that the disk ids[0] has to
  // copy, a part of them: the last one's name is ids[0] of the reply while
  // there are more.
  kSomeUses = 5,
  kAdopt = 6,  // Take over `members` if it is newer.
};
inline constexpr StorageOperation kLastStorageOperation =
    StorageOperation::kAdopt;

enum class StorageStatus {
  kDone = 0,
  kOldEpoch = 1,   // The request's list is older; `members` is the newer one.
  kNewEpoch = 2,   // The replica's list is older: send it the newer one.
  kOtherDisk = 3,  // The disk that was asked is not here any more.
  kFailed = 4,     // Not kept: the disk is full, slow or broken.
};
inline constexpr StorageStatus kLastStorageStatus = StorageStatus::kFailed;

// What is asked of a storage daemon; stores are also the entries of its log.
struct StorageRequest {
  StorageOperation operation = StorageOperation::kStore;
  std::int64_t epoch = 0;  // 0: of no importance.
  std::vector<TurnRecord> turns;
  std::vector<TokenUse> uses;
  std::vector<std::string> ids;
  std::chrono::milliseconds keep_until{0};  // Of the turns `ids`.
  std::string program;
  std::optional<StorageList> members;
};

struct StorageReply {
  StorageStatus status = StorageStatus::kDone;
  // The replica has all that its disk is to have: its "no" counts.
  bool whole = false;
  std::vector<TurnRecord> turns;
  std::vector<TokenUse> uses;
  std::vector<std::string> ids;
  std::optional<StorageList> members;
};

// Thrift compact encoding; Decode throws WireError.
std::string Encode(const StorageRequest& request);
std::string Encode(const StorageReply& reply);
std::string Encode(const StorageList& list);
StorageRequest DecodeStorageRequest(const std::string& buf);
StorageReply DecodeStorageReply(const std::string& buf);
StorageList DecodeStorageList(const std::string& buf);

}  // namespace comfreyfold

#endif  // WIRE_STORAGE_MESSAGES_H_
