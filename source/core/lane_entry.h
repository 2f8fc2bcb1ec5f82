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
  kTakeover = 0,   // The block's owner holds the lane from here on.
  kCallBegun = 1,  // Intent: the call may be dispatched once committed.
  kCallDone = 2,   // Outcome of a call.
  // No further call; holds are to be released. `target` is the limit that
  // was passed, empty when the caller ended it.
  kProgramEnded = 3,
  kHoldReleased = 4,     // `backend` confirmed that it holds nothing more.
  kHandover = 5,         // The owner gives the lane up of its own accord.
  kSubagentStarted = 6,  // `key` names the program that was started.
  kSealed = 7,           // Changes nothing: proves that the owner has the lane.
  kProgramForgotten = 8,  // Ended long ago, nothing held: it leaves the lane.
  kHolders = 9,  // Names who keeps the lane's blocks while the service is out.
};
inline constexpr EntryKind kLastEntryKind = EntryKind::kHolders;

// One durable fact about a program. Which fields count depends on `kind`.
struct LaneEntry {
  EntryKind kind = EntryKind::kTakeover;
  std::string customer;
  std::string program;
  std::string key;        // Idempotency key of the call.
  std::int64_t call = 0;  // Place in the program, from 1.
  CallKind call_kind = CallKind::kModel;
  std::string target;   // Model, tool or service.
  std::string backend;  // VM id of the backend server.
  bool idempotent = false;
  std::string request;               // JSON: new messages, or arguments.
  std::uint64_t request_digest = 0;  // Of the body as the caller sent it.
  // Of kCallDone; of kCallBegun: of the call's earlier dispatches.
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string answer;
  std::int64_t tokens = 0;  // Reserved when begun, used when done.
  std::string grant;        // Of the budget, that the tokens are taken from.
  std::chrono::milliseconds begun_at{};  // Since 1970, of kCallBegun.
  std::vector<SpoolHolder> holders;      // Of kHolders.

  bool operator==(const LaneEntry&) const = default;
};

// The unit of commit of a lane's journal: created once, never changed.
struct LaneBlock {
  std::int64_t number = 0;  // From 1, without gaps.
  std::string uid;          // Tells a lost answer from a lost race.
  std::int64_t epoch = 0;
  std::string owner;  // Daemon id.
  std::vector<LaneEntry> entries;

  bool operator==(const LaneBlock&) const = default;
};

// About what the entries take in a block.
std::size_t EstimatedBytes(const std::vector<LaneEntry>& entries);

bool HasIntent(const std::vector<LaneEntry>& entries);
// An intent of a call that must not run twice.
bool HasUnsafeIntent(const std::vector<LaneEntry>& entries);
// Entries that change who answers for the lane, or keeps its blocks.
bool HasOwnershipChange(const std::vector<LaneEntry>& entries);

}  // namespace comfreyfold

#endif  // CORE_LANE_ENTRY_H_
