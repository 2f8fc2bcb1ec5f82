#ifndef CORE_LANE_ENTRY_H_
#define CORE_LANE_ENTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/spool_holder.h"
#include "core/verdict.h"

namespace comfreyfold {

enum class CallKind { kModel = 0, kTool = 1, kService = 2 };
inline constexpr CallKind kLastCallKind = CallKind::kService;

enum class EntryKind {
  kTakeover = 0,   // The block's owner owns the lane from here on.
  kCallBegun = 1,  // Intent: the call may be dispatched once this is committed.
  kCallDone = 2,   // Outcome of a call.
  // The program accepts no further calls and its holds are to be released.
  // `target` is the limit that was exceeded, or empty if the caller ended the
  // program.
  kProgramEnded = 3,
  kHoldReleased = 4,     // `backend` confirmed that it holds no more memory.
  kHandover = 5,         // The owner gives up the lane voluntarily.
  kSubagentStarted = 6,  // `key` names the program that was started.
  // Has no effect on the state. Committing it proves ownership of the lane.
  kSealed = 7,
  // Removes a program that has ended and holds no memory from the lane.
  kProgramForgotten = 8,
  // `holders` names the daemons that store the lane's blocks during an outage
  // of the key-value service.
  kHolders = 9,
};
inline constexpr EntryKind kLastEntryKind = EntryKind::kHolders;

// One committed event of a lane. Which fields are used depends on `kind`.
struct LaneEntry {
  EntryKind kind = EntryKind::kTakeover;
  std::string customer;
  std::string program;
  std::string key;        // Idempotency key of the call.
  std::int64_t call = 0;  // Number of the call in its program, from 1.
  CallKind call_kind = CallKind::kModel;
  std::string target;   // Name of the model, tool or service.
  std::string backend;  // VM id of the backend server.
  bool idempotent = false;
  std::string request;               // JSON: the new messages or arguments.
  std::uint64_t request_digest = 0;  // Of the body as the caller sent it.
  // In kCallDone the verdict on the call, in kCallBegun the verdict on its
  // earlier dispatches.
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string answer;
  std::int64_t tokens = 0;  // Reserved in kCallBegun, used in kCallDone.
  std::string grant;        // Budget grant that the tokens are taken from.
  std::chrono::milliseconds begun_at{};  // Since the Unix epoch; kCallBegun.
  std::vector<SpoolHolder> holders;      // kHolders.

  bool operator==(const LaneEntry&) const = default;
};

// The unit of commit of a lane's journal. A block is created once and never
// changed.
struct LaneBlock {
  std::int64_t number = 0;  // From 1, without gaps.
  // Unique id. After a failed write it tells whether the stored block is this
  // one, whose answer was lost, or the block of another writer.
  std::string uid;
  std::int64_t epoch = 0;
  std::string owner;  // Daemon id.
  std::vector<LaneEntry> entries;

  bool operator==(const LaneBlock&) const = default;
};

// Estimates the encoded size of the entries in a block.
std::size_t EstimatedBytes(const std::vector<LaneEntry>& entries);

// True if the entries begin a call.
bool HasIntent(const std::vector<LaneEntry>& entries);
// True if the entries begin a call that must not run twice.
bool HasUnsafeIntent(const std::vector<LaneEntry>& entries);
// True if the entries change the owner of the lane or the holders of its
// blocks.
bool HasOwnershipChange(const std::vector<LaneEntry>& entries);

}  // namespace comfreyfold

#endif  // CORE_LANE_ENTRY_H_
