#ifndef CORE_LANE_STATE_H_
#define CORE_LANE_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/lane_entry.h"

namespace comfreyfold {

// A call as the journal knows it.
struct CallRecord {
  std::string key;
  std::int64_t call = 0;
  CallKind kind = CallKind::kModel;
  std::string target;
  std::string backend;
  bool idempotent = false;
  std::string request;
  std::uint64_t request_digest = 0;
  bool done = false;
  std::int64_t epoch = 0;  // Of the owner that began it.
  // The daemon that still runs it after a handover; empty once the lane was
  // taken from a daemon that did not hand it over.
  std::string held_by;
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string answer;
  std::int64_t tokens = 0;
};

struct ProgramState {
  std::string customer;
  std::string program;
  std::vector<CallRecord> calls;   // In the order of the program.
  std::set<std::string> holds_on;  // VM ids that may hold engine memory.
  bool ended = false;
  std::string passed_limit;  // Why it was ended; empty: by its caller.
  std::int64_t tokens = 0;   // Used so far.
  std::chrono::milliseconds started_at{};     // Since 1970; 0: no call yet.
  std::chrono::milliseconds last_begun_at{};  // Of its newest call.
  std::set<std::string> subagents;            // Programs it has started.

  // The place the next new call takes.
  std::int64_t next_call() const {
    return static_cast<std::int64_t>(calls.size()) + 1;
  }
};

// Identifies a program: names of different customers never meet.
struct ProgramKey {
  std::string customer;
  std::string program;
  auto operator<=>(const ProgramKey&) const = default;
};

// What a call asks of its lane.
struct CallClaim {
  ProgramKey program;
  std::string key;
  std::int64_t call = 0;  // 0: the next.
  std::uint64_t request_digest = 0;
  bool former_owner_gone = false;  // What it ran counts as of no outcome.
};

enum class AdmitResult {
  kNew,         // Begin it at the place given.
  kAgain,       // Known and may be dispatched (again).
  kAnswered,    // Answer from the record.
  kMayHaveRun,  // An intent without outcome that must not be repeated.
  // A daemon that handed the lane over still runs it, or an earlier call of
  // the program.
  kAtFormerOwner,
  kInFlight,     // This owner is running it now.
  kKeyReused,    // The key belongs to another request.
  kOutOfOrder,   // Not the program's next call.
  kEarlierOpen,  // An earlier call of the program has no outcome yet.
  kProgramEnded,
};

struct Admission {
  AdmitResult result = AdmitResult::kNew;
  std::int64_t call = 0;
  const CallRecord* record = nullptr;
};

// A block that cannot follow the blocks before it.
class LaneCorrupt : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The programs of one lane, as replayed from its journal. No input or
// output, no clock: the same blocks give the same state everywhere.
class LaneState {
 public:
  // Applies the next block. Throws LaneCorrupt on a gap, on an epoch that
  // falls, or on a new epoch that does not start with a takeover.
  void Apply(const LaneBlock& block);

  // Decides what `claim` may do now. Changes nothing.
  Admission Admit(const CallClaim& claim) const;

  const ProgramState* Find(const ProgramKey& key) const;
  const std::map<ProgramKey, ProgramState>& programs() const {
    return programs_;
  }
  std::int64_t last_block() const { return last_block_; }
  std::int64_t epoch() const { return epoch_; }
  const std::string& owner() const { return owner_; }

 private:
  void ApplyEntry(const LaneEntry& entry);
  void ForgetFormerOwners();
  void Begin(const LaneEntry& entry);
  void Finish(const LaneEntry& entry);
  void ForgetIfReleased(const ProgramKey& key);

  std::map<ProgramKey, ProgramState> programs_;
  std::int64_t last_block_ = 0;
  std::int64_t epoch_ = 0;
  std::string owner_;
};

}  // namespace comfreyfold

#endif  // CORE_LANE_STATE_H_
