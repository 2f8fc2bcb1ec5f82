#ifndef WIRE_STORAGE_MESSAGES_H_
#define WIRE_STORAGE_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/storage_list.h"
#include "core/token_ledger.h"
#include "core/turn_digest.h"
#include "core/turn_record.h"

namespace comfreyfold {

enum class StorageOperation {
  // Store `turns` and `uses`, and extend the expiry of the turns `ids` to
  // `keep_until`. The reply is sent once all of it is on disk; its `ids` are
  // the turns among `ids` that the disk lacks.
  kStore = 0,
  kChain = 1,   // Return turn ids[0] and its ancestors that are stored here.
  kUses = 2,    // Return the token uses of `program`.
  kDigest = 3,  // Return the ids and expiries of all turns stored here.
  kFetch = 4,   // Return the turns `ids`.
  // Return the token uses that disk ids[0] has to copy, one page per request,
  // beginning with the programs after `program`. While there are more pages,
  // ids[0] of the reply is the last program of the page.
  kSomeUses = 5,
  kAdopt = 6,  // Adopt the storage list `members` if it is newer.
  // The daemon of disk ids[0] is being stopped. Daemons of an older build
  // refuse the request.
  kStopping = 7,
};
inline constexpr StorageOperation kLastStorageOperation =
    StorageOperation::kStopping;

enum class StorageStatus {
  kDone = 0,
  kOldEpoch = 1,   // The request's epoch is too old; `members` is newer.
  kNewEpoch = 2,   // The replica's list is too old; send it the newer one.
  kOtherDisk = 3,  // The requested disk is no longer on this VM.
  kFailed = 4,     // Not stored: the disk is full, slow or broken.
};
inline constexpr StorageStatus kLastStorageStatus = StorageStatus::kFailed;

// A request to a storage daemon. Requests with kStore are also the entries of
// its disk log.
struct StorageRequest {
  StorageOperation operation = StorageOperation::kStore;
  std::int64_t epoch = 0;  // Of the sender's list; 0: not to be checked.
  std::vector<TurnRecord> turns;
  std::vector<TokenUse> uses;
  std::vector<std::string> ids;
  std::chrono::milliseconds keep_until{0};  // Expiry of the turns `ids`.
  std::string program;
  std::optional<StorageList> members;
  // kDigest: reply with `digest` instead of `ids` and `expiries`. Daemons of an
  // older build don't.
  bool packs = false;
  // kFetch: turns to return beside `ids`.
  std::vector<TurnKey> keys;
};

struct StorageReply {
  StorageStatus status = StorageStatus::kDone;
  // True when the disk is on the storage list, so that a record missing from
  // the reply counts as missing from this replica.
  bool whole = false;
  std::vector<TurnRecord> turns;
  std::vector<TokenUse> uses;
  std::vector<std::string> ids;
  // Since the Unix epoch, for each of `ids`; empty from daemons of an older
  // build.
  std::vector<std::chrono::milliseconds> expiries;
  std::optional<StorageList> members;
  // Has no room for turns that are yet to run.
  bool full = false;
  // Has no room for turns that have run either, so that it stores nothing.
  bool overfull = false;
  // Until there will be room again for turns that are yet to run; 0: unknown.
  std::chrono::milliseconds room_in{0};
  // Until there will be room for turns that begin chains; 0: there is, or
  // `full` tells all that is known.
  std::chrono::milliseconds new_chains_in{0};
  std::string digest;  // See PackDigest().
};

// Thrift compact encoding. The Decode functions throw WireError.
std::string Encode(const StorageRequest& request);
std::string Encode(const StorageReply& reply);
std::string Encode(const StorageList& list);
StorageRequest DecodeStorageRequest(const std::string& buf);
StorageReply DecodeStorageReply(const std::string& buf);
StorageList DecodeStorageList(const std::string& buf);

}  // namespace comfreyfold

#endif  // WIRE_STORAGE_MESSAGES_H_
