#ifndef CORE_LANE_STATE_H_
#define CORE_LANE_STATE_H_

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/grant_use.h"
#include "core/lane_entry.h"
#include "core/lane_snapshot.h"
#include "core/program_state.h"

namespace comfreyfold {

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
  kMayRepeat,   // Known and may be dispatched (again).
  kAnswered,    // Answer from the record.
  kMayHaveRun,  // An intent without outcome that must not be repeated.
  // A daemon that handed the lane over still runs it, or an earlier call of
  // the program.
  kAtFormerOwner,
  kInFlight,         // This owner is running it now.
  kKeyReused,        // The key belongs to another request.
  kOutOfOrder,       // Not the program's next call.
  kEarlierCallOpen,  // An earlier call of the program has no outcome yet.
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

  // The state in a form to keep, and from that form again.
  LaneSnapshot Snapshot() const;
  static LaneState FromSnapshot(LaneSnapshot snapshot);

  // Decides what `claim` may do now. Changes nothing.
  Admission Admit(const CallClaim& claim) const;

  const ProgramState* Find(const ProgramKey& key) const;
  const std::map<ProgramKey, ProgramState>& programs() const {
    return programs_;
  }
  // Tokens that the calls begun under a grant used, or may yet use at most.
  std::int64_t GrantTokens(const GrantName& name) const;
  std::int64_t last_block() const { return last_block_; }
  std::int64_t epoch() const { return epoch_; }
  const std::string& owner() const { return owner_; }
  // Who keeps blocks of this owner while the service is out; empty: nobody.
  const std::vector<SpoolHolder>& holders() const { return holders_; }

 private:
  void ApplyEntry(const LaneEntry& entry);
  void ForgetFormerOwners();
  void Begin(const LaneEntry& entry);
  void Finish(const LaneEntry& entry);
  void Forget(const ProgramKey& key);

  std::map<ProgramKey, ProgramState> programs_;
  std::int64_t last_block_ = 0;
  std::int64_t epoch_ = 0;
  std::string owner_;
  std::map<GrantName, std::int64_t> grant_uses_;
  std::vector<SpoolHolder> holders_;
};

}  // namespace comfreyfold

#endif  // CORE_LANE_STATE_H_
