#include "core/lane_state.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

CallRecord* FindCall(ProgramState& program, const std::string& key) {
  return const_cast<CallRecord*>(std::as_const(program).FindCall(key));
}

// A call that certainly did not run may begin again. A call that may have run
// may be repeated only if it is idempotent.
bool MayRepeat(const CallRecord& record) {
  return record.verdict == Verdict::kNotRun ? record.done || record.idempotent
                                            : record.idempotent;
}

// Whether a former owner still runs the call. Valid only for calls that the
// current owner did not begin.
bool IsRunningAtFormerOwner(const CallRecord& record, const CallClaim& claim) {
  return !record.done && !record.held_by.empty() && !claim.former_owner_gone;
}

}  // namespace

void LaneState::Apply(const LaneBlock& block) {
  if (block.number != last_block_ + 1) {
    throw LaneCorrupt("block " + std::to_string(block.number) +
                      " does not follow block " + std::to_string(last_block_));
  }
  if (block.epoch < epoch_) {
    throw LaneCorrupt("block " + std::to_string(block.number) +
                      " has an older epoch: " + std::to_string(block.epoch));
  }
  const bool takes_over = !block.entries.empty() &&
                          block.entries.front().kind == EntryKind::kTakeover;
  if (block.epoch > epoch_ && !takes_over) {
    throw LaneCorrupt("block " + std::to_string(block.number) +
                      " starts a new epoch without a takeover");
  }
  // An owner that handed the lane over (owner_ is empty) finishes its calls.
  // When an owner lost the lane, it is unknown whether its calls still run.
  if (block.epoch > epoch_ && !owner_.empty()) {
    ClearFormerOwners();
  }
  last_block_ = block.number;
  epoch_ = block.epoch;
  owner_ = block.owner;
  for (const auto& it : block.entries) {
    ApplyEntry(it);
  }
}

void LaneState::ApplyEntry(const LaneEntry& entry) {
  const ProgramKey key{entry.customer, entry.program};
  switch (entry.kind) {
    case EntryKind::kTakeover:
      // Holders are chosen by each owner for itself.
      holders_.clear();
      break;
    case EntryKind::kHolders:
      holders_ = entry.holders;
      break;
    case EntryKind::kSealed:
      break;
    case EntryKind::kHandover:
      owner_.clear();
      break;
    case EntryKind::kCallBegun:
      ApplyCallBegun(entry);
      break;
    case EntryKind::kCallDone:
      ApplyCallDone(entry);
      break;
    case EntryKind::kProgramEnded: {
      auto& program = programs_[key];
      program.customer = entry.customer;
      program.program = entry.program;
      program.ended = true;
      program.passed_limit = entry.target;
      break;
    }
    case EntryKind::kSubagentStarted: {
      auto& program = programs_[key];
      program.customer = entry.customer;
      program.program = entry.program;
      program.subagents.insert(entry.key);
      break;
    }
    case EntryKind::kProgramForgotten:
      RemoveProgram(key);
      break;
    case EntryKind::kHoldReleased: {
      const auto it = programs_.find(key);
      if (it != programs_.end()) {
        it->second.holds_on.erase(entry.backend);
      }
      break;
    }
  }
}

void LaneState::ClearFormerOwners() {
  for (auto& [key, program] : programs_) {
    for (auto& it : program.calls) {
      it.held_by.clear();
    }
  }
}

void LaneState::ApplyCallBegun(const LaneEntry& entry) {
  auto& program = programs_[{entry.customer, entry.program}];
  program.customer = entry.customer;
  program.program = entry.program;
  if (program.started_at.count() == 0) {
    program.started_at = entry.begun_at;
  }
  program.last_begun_at = std::max(program.last_begun_at, entry.begun_at);
  auto* it = FindCall(program, entry.key);
  if (it == nullptr) {
    // The number is assigned here and not taken from the entry: an abandoned
    // intent can be committed before an intent with the same number.
    const auto next = program.next_call();
    it = &program.calls.emplace_back();
    it->call = next;
  }
  it->key = entry.key;
  it->kind = entry.call_kind;
  it->target = entry.target;
  it->backend = entry.backend;
  it->idempotent = entry.idempotent;
  it->request = entry.request;
  it->request_digest = entry.request_digest;
  if (!entry.grant.empty()) {
    grant_uses_[{entry.customer, entry.grant}] += entry.tokens;
  }
  it->tokens = entry.tokens;
  it->epoch = epoch_;
  it->held_by = owner_;
  it->done = false;
  it->verdict = Verdict::kMayHaveRun;
  if (entry.call_kind == CallKind::kModel && !entry.backend.empty()) {
    program.holds_on.insert(entry.backend);
  }
}

void LaneState::ApplyCallDone(const LaneEntry& entry) {
  const auto found = programs_.find({entry.customer, entry.program});
  if (found == programs_.end()) {
    return;
  }
  auto& program = found->second;
  auto* it = FindCall(program, entry.key);
  if (it == nullptr) {
    return;
  }
  // Releases the tokens that were reserved but not used. When another owner
  // began the call again, the first owner's reservation stays counted.
  if (!entry.grant.empty() && !it->done) {
    grant_uses_[{entry.customer, entry.grant}] += entry.tokens - it->tokens;
  }
  it->done = true;
  it->verdict = entry.verdict;
  it->status = entry.status;
  it->answer = entry.answer;
  it->tokens = entry.tokens;
  program.tokens += entry.tokens;
}

void LaneState::RemoveProgram(const ProgramKey& key) {
  // A program is kept until all its holds are released, so that later owners of
  // the lane can continue to release them.
  const auto it = programs_.find(key);
  if (it != programs_.end() && it->second.ended &&
      it->second.holds_on.empty()) {
    programs_.erase(it);
  }
}

LaneSnapshot LaneState::Snapshot() const {
  LaneSnapshot out{last_block_, epoch_, owner_, {}, {}, holders_};
  for (const auto& [key, program] : programs_) {
    out.programs.push_back(program);
  }
  for (const auto& [name, tokens] : grant_uses_) {
    out.grants.push_back({name, tokens});
  }
  return out;
}

LaneState LaneState::FromSnapshot(LaneSnapshot snapshot) {
  LaneState out;
  out.last_block_ = snapshot.last_block;
  out.epoch_ = snapshot.epoch;
  out.owner_ = std::move(snapshot.owner);
  out.holders_ = std::move(snapshot.holders);
  for (auto& it : snapshot.programs) {
    const ProgramKey key{it.customer, it.program};
    out.programs_[key] = std::move(it);
  }
  for (const auto& it : snapshot.grants) {
    out.grant_uses_[it.name] = it.tokens;
  }
  return out;
}

std::int64_t LaneState::GrantTokens(const GrantName& name) const {
  const auto it = grant_uses_.find(name);
  return it == grant_uses_.end() ? 0 : it->second;
}

const ProgramState* LaneState::Find(const ProgramKey& key) const {
  const auto it = programs_.find(key);
  return it == programs_.end() ? nullptr : &it->second;
}

Admission LaneState::Admit(const CallClaim& claim) const {
  const auto* program = Find(claim.program);
  const std::int64_t next = program == nullptr ? 1 : program->next_call();
  if (program != nullptr) {
    const auto* it = program->FindCall(claim.key);
    if (it != nullptr) {
      if (it->request_digest != claim.request_digest ||
          (claim.call != 0 && claim.call != it->call)) {
        return {AdmitResult::kKeyReused, it->call, it};
      }
      if (it->done && it->verdict == Verdict::kRan) {
        return {AdmitResult::kAnswered, it->call, it};
      }
      if (!it->done && it->epoch == epoch_) {
        return {AdmitResult::kInFlight, it->call, it};
      }
      if (IsRunningAtFormerOwner(*it, claim)) {
        return {AdmitResult::kAtFormerOwner, it->call, it};
      }
      if (program->ended) {
        return {AdmitResult::kProgramEnded, it->call, it};
      }
      return {
          MayRepeat(*it) ? AdmitResult::kMayRepeat : AdmitResult::kMayHaveRun,
          it->call, it};
    }
    if (program->ended) {
      return {AdmitResult::kProgramEnded, next, nullptr};
    }
    if (!program->calls.empty() && !program->calls.back().done) {
      const auto& last = program->calls.back();
      if (last.epoch == epoch_) {
        return {AdmitResult::kEarlierCallOpen, next, &last};
      }
      if (IsRunningAtFormerOwner(last, claim)) {
        return {AdmitResult::kAtFormerOwner, next, &last};
      }
    }
  }
  if (claim.call != 0 && claim.call != next) {
    return {AdmitResult::kOutOfOrder, next, nullptr};
  }
  return {AdmitResult::kNew, next, nullptr};
}

}  // namespace comfreyfold
