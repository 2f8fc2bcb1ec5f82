#include "server/call_runner.h"

#include <algorithm>

#include "core/call_error.h"
#include "core/hash.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOutcomePollInterval{100};

std::string ProgramEndedText(const CallContext& context) {
  const auto* program = context.state();
  if (program == nullptr || program->passed_limit.empty()) {
    return "the program has ended; start a new one";
  }
  return "the program was ended because it passed its contract's " +
         program->passed_limit + "; start a new one";
}

// Returns whether another daemon owns the lane now. A daemon that has lost its
// lane without noticing would report "not run" for a call that the new owner
// ran. While the key-value service is unavailable no daemon can take the lane
// over, so the lane's last known state is used. A read of the ownership is
// reused if it began after this call started and within the last commit
// timeout.
bool IsSuperseded(Fiber& fiber, const CallContext& context) {
  auto& lane = *context.lane;
  const auto since =
      std::max(context.started, std::chrono::steady_clock::now() -
                                    lane.settings().commit_timeout);
  try {
    return !lane.ConfirmOwnership(fiber, since);
  } catch (const KvUnavailable&) {
    return lane.lost();
  }
}

// Returns whether this owner has begun a call of the program whose outcome is
// not recorded.
bool HasOpenCall(const Admission& admission) {
  return admission.result == AdmitResult::kInFlight ||
         admission.result == AdmitResult::kEarlierCallOpen;
}

// Waits until the outcome of the program's open call is recorded. The caller
// holds the program's gate, so none of the program's calls is running here. If
// one is open, its outcome may still be queued for the journal.
void AwaitPendingOutcome(Fiber& fiber, const CallContext& context) {
  auto& lane = *context.lane;
  const auto give_up_at =
      std::chrono::steady_clock::now() +
      std::min(lane.settings().commit_timeout, context.time_left());
  while (lane.PendingOutcome(context.program) != nullptr && !lane.lost() &&
         std::chrono::steady_clock::now() < give_up_at) {
    lane.WaitForChange(fiber, kOutcomePollInterval);
  }
  if (lane.lost()) {
    throw NotOwner("lane lost while an outcome was being recorded");
  }
}

void ThrowIfOutcomePending(const CallContext& context, const CallRecord& open) {
  const auto* outcome = context.lane->PendingOutcome(context.program);
  if (outcome == nullptr) {
    return;
  }
  throw CallError(
      503, "outcome_pending",
      "the outcome of a call of the program is not recorded yet; retry with "
      "the same Idempotency-Key",
      open.key == context.call.key ? outcome->verdict : Verdict::kNotRun,
      kRetrySoon);
}

}  // namespace

void CallRunner::Run(Fiber& fiber,
                     const ForwardedCall& call,
                     const FrameSink& sink) {
  contracts_.EnsureCurrent(fiber);
  const int lane = LaneOf(call.customer, call.program, lanes_.lanes());
  LogEvent("call_queued", call, lane);
  bool first_delta = true;
  const FrameSink recording_sink = [&](const AnswerFrame& frame) {
    if (first_delta && frame.kind == FrameKind::kDelta) {
      LogEvent("first_piece", call, lane);
      first_delta = false;
    }
    sink(frame);
  };
  CallContext context{call,
                      recording_sink,
                      nullptr,
                      contracts_.FindByName(call.customer),
                      {call.customer, call.program},
                      std::chrono::steady_clock::now() + call.deadline};
  if (!context.contract) {
    throw CallError(403, "no_contract",
                    "this daemon has no contract for customer '" +
                        call.customer + "'; apply one, or retry",
                    Verdict::kNotRun, kRetrySoon);
  }
  auto gate_pass = gate_.Enter(context.program, call.key);
  if (!gate_pass.Wait(fiber, context.time_left())) {
    throw CallError(
        503, "earlier_call_running",
        "an earlier call of the program did not complete in time; retry with "
        "the same Idempotency-Key",
        gate_pass.FollowsSameCall() ? Verdict::kMayHaveRun : Verdict::kNotRun,
        kRetrySoon);
  }
  // Looked up after the wait, during which the lane may have changed owners.
  context.lane = lanes_.Find(lane);
  if (!context.lane) {
    throw NotOwner("lane " + std::to_string(lane) + " is not owned here");
  }
  try {
    Dispatch(fiber, context);
  } catch (const CallError& e) {
    if (e.verdict() == Verdict::kNotRun && IsSuperseded(fiber, context)) {
      throw NotOwner(e.what());
    }
    if (e.verdict() < context.earlier_verdict) {
      throw CallError(e.status(), e.code(), e.what(), context.earlier_verdict,
                      e.retry_after());
    }
    throw;
  }
}

void CallRunner::Dispatch(Fiber& fiber, CallContext& context) {
  switch (context.call.operation) {
    case Operation::kModel:
    case Operation::kTool:
    case Operation::kService:
      RunCall(fiber, context);
      break;
    case Operation::kEnd:
      requests_.End(fiber, context);
      break;
    case Operation::kHistory:
      // A superseded owner does not have the newest calls.
      if (IsSuperseded(fiber, context)) {
        throw NotOwner("another daemon owns the lane");
      }
      requests_.ReadHistory(context);
      break;
    case Operation::kAnswer:
      requests_.ReadAnswer(context);
      break;
    case Operation::kSubagent:
      requests_.StartSubagent(fiber, context);
      break;
  }
}

void CallRunner::LogEvent(const char* name,
                          const ForwardedCall& call,
                          int lane) {
  log_.Write({.name = name,
              .customer = call.customer,
              .program = call.program,
              .key = call.key,
              .lane = lane});
}

Admission CallRunner::Admit(Fiber& fiber, const CallContext& context) {
  CallClaim claim{context.program, context.call.key, context.call.call,
                  context.Digest()};
  auto admission = context.lane->state().Admit(claim);
  AwaitFormerOwner(fiber, context, claim, admission);
  if (HasOpenCall(admission)) {
    AwaitPendingOutcome(fiber, context);
    admission = context.lane->state().Admit(claim);
  }
  if (HasOpenCall(admission)) {
    ThrowIfOutcomePending(context, *admission.record);
  }
  return admission;
}

void CallRunner::AwaitFormerOwner(Fiber& fiber,
                                  const CallContext& context,
                                  CallClaim& claim,
                                  Admission& admission) {
  // The daemon that handed the lane over sends the outcomes of the calls that
  // it is still running. If it dies, its calls are treated like those of any
  // dead owner.
  while (admission.result == AdmitResult::kAtFormerOwner) {
    if (context.lane->lost()) {
      throw NotOwner("lane lost while waiting for its former owner");
    }
    if (std::chrono::steady_clock::now() >= context.deadline) {
      break;
    }
    claim.former_owner_gone = !lanes_.IsLive(admission.record->held_by);
    if (!claim.former_owner_gone) {
      context.lane->WaitForChange(fiber, kOutcomePollInterval);
    }
    admission = context.lane->state().Admit(claim);
  }
}

void CallRunner::RunCall(Fiber& fiber, CallContext& context) {
  const auto& call = context.call;
  const auto admission = Admit(fiber, context);
  context.call_number = admission.call;
  switch (admission.result) {
    case AdmitResult::kNew:
      break;
    case AdmitResult::kMayRepeat:
      context.earlier_verdict = admission.record->verdict;
      break;
    case AdmitResult::kAnswered:
      requests_.AnswerFromRecord(context, *admission.record);
      return;
    case AdmitResult::kAtFormerOwner:
      throw CallError(503, "call_still_running",
                      "a call of the program is still running at the daemon "
                      "that began it; retry with the same Idempotency-Key",
                      admission.record->key == call.key ? Verdict::kMayHaveRun
                                                        : Verdict::kNotRun,
                      kRetrySoon);
    case AdmitResult::kMayHaveRun:
    case AdmitResult::kInFlight:
      throw CallError(409, "outcome_unknown",
                      "the call was begun and its outcome is unknown; it is "
                      "not repeated because it is not idempotent: check at "
                      "the service whether it ran, then continue with the "
                      "next call",
                      Verdict::kMayHaveRun);
    case AdmitResult::kKeyReused:
      throw CallError(422, "key_reused",
                      "this Idempotency-Key belongs to another request of "
                      "the program; use a new key for a new request",
                      Verdict::kNotRun);
    case AdmitResult::kOutOfOrder:
      throw CallError(409, "out_of_order",
                      "the program's next call is number " +
                          std::to_string(admission.call) +
                          "; send that number, or omit Comfreyfold-Call",
                      Verdict::kNotRun);
    case AdmitResult::kEarlierCallOpen:
      throw CallError(409, "earlier_call_open",
                      "an earlier call of the program has no outcome yet; "
                      "retry",
                      Verdict::kNotRun, kRetrySoon);
    case AdmitResult::kProgramEnded:
      throw CallError(410, "program_ended", ProgramEndedText(context),
                      Verdict::kNotRun);
  }
  limits_.Check(fiber, context);
  if (call.operation == Operation::kModel) {
    const auto slot = slots_.Enter(fiber, *context.contract, context.deadline);
    models_.Run(fiber, context);
  } else {
    tools_.Run(fiber, context);
  }
}

}  // namespace comfreyfold
