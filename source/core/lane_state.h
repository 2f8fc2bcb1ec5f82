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

// Identifies a program. Program names are unique per customer only.
struct ProgramKey {
  std::string customer;
  std::string program;
  auto operator<=>(const ProgramKey&) const = default;
};

// A caller's request to run a call in a lane.
struct CallClaim {
  ProgramKey program;
  std::string key;
  std::int64_t call = 0;  // Expected call number; 0 means the next one.
  std::uint64_t request_digest = 0;
  // Whether the former owner is considered dead, so that the call it was
  // running will get no outcome.
  bool former_owner_gone = false;
};

enum class AdmitResult {
  kNew,        // The call may begin under the number given.
  kMayRepeat,  // The call is recorded and may be dispatched again.
  kAnswered,   // The recorded answer is to be returned.
  // The call may have run and must not be repeated.
  kMayHaveRun,
  // A daemon that handed the lane over still runs the call, or an earlier call
  // of the program.
  kAtFormerOwner,
  kInFlight,         // This owner is running the call.
  kKeyReused,        // The key belongs to another request.
  kOutOfOrder,       // The call is not the next one of the program.
  kEarlierCallOpen,  // An earlier call of the program has no outcome yet.
  kProgramEnded,
};

struct Admission {
  AdmitResult result = AdmitResult::kNew;
  std::int64_t call = 0;  // Number of the call.
  // The recorded call that decided the result, if any.
  const CallRecord* record = nullptr;
};

// Thrown for a block that cannot follow the blocks before it.
class LaneCorrupt : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The programs of one lane, replayed from its journal. Performs no input or
// output and reads no clock, so the same blocks give the same state on all
// daemons.
class LaneState {
 public:
  // Applies the next block. Throws LaneCorrupt on a gap, on a lower epoch, and
  // on a new epoch that does not start with a takeover.
  void Apply(const LaneBlock& block);

  // Convert the state to a snapshot and back.
  LaneSnapshot Snapshot() const;
  static LaneState FromSnapshot(LaneSnapshot snapshot);

  // Decides whether the call in `claim` may run now.
  Admission Admit(const CallClaim& claim) const;

  const ProgramState* Find(const ProgramKey& key) const;
  const std::map<ProgramKey, ProgramState>& programs() const {
    return programs_;
  }
  // Tokens of the grant `name` that the calls of this lane used, where calls in
  // flight count with the most that they can use.
  std::int64_t GrantTokens(const GrantName& name) const;
  std::int64_t last_block() const { return last_block_; }
  std::int64_t epoch() const { return epoch_; }
  const std::string& owner() const { return owner_; }
  // Daemons that store this owner's blocks during an outage of the key-value
  // service. Empty if there are none.
  const std::vector<SpoolHolder>& holders() const { return holders_; }

 private:
  void ApplyEntry(const LaneEntry& entry);
  void ClearFormerOwners();
  void ApplyCallBegun(const LaneEntry& entry);
  void ApplyCallDone(const LaneEntry& entry);
  void RemoveProgram(const ProgramKey& key);

  std::map<ProgramKey, ProgramState> programs_;
  std::int64_t last_block_ = 0;
  std::int64_t epoch_ = 0;
  std::string owner_;
  std::map<GrantName, std::int64_t> grant_uses_;
  std::vector<SpoolHolder> holders_;
};

}  // namespace comfreyfold

#endif  // CORE_LANE_STATE_H_
