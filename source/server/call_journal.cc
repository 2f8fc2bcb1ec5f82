#include "server/call_journal.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kOutageRetryAfter{2000};
// A daemon that was paused until after the call's deadline still gets this
// long to send the outcome to the lane's owner.
constexpr std::chrono::milliseconds kMinRelayTimeout{5000};

// Returns whether the lane's next owner may record the outcome.
// After a handover the next owner waits for the outcome. After a takeover it
// has already answered that the call may have run. An outcome "ran" agrees
// with that answer if the call is not idempotent, because such a call was not
// begun again. An idempotent call may have been begun again by the next owner.
// An outcome "not run" is never accepted after a takeover: it would allow a
// repeat of the call after its caller has checked at the service that it did
// not run.
bool NextOwnerAccepts(const CallContext& context, const LaneEntry& outcome) {
  if (context.lane->handed_over()) {
    return true;
  }
  const auto* program = context.state();
  const auto* call =
      program == nullptr ? nullptr : program->FindCall(outcome.key);
  return outcome.verdict == Verdict::kRan && call != nullptr &&
         !call->idempotent;
}

}  // namespace

void CallJournal::CommitIntent(Fiber& fiber,
                               const CallContext& context,
                               const LaneEntry& intent) {
  const auto commit_started = std::chrono::steady_clock::now();
  const auto& settings = context.lane->settings();
  try {
    context.lane->Append(
        fiber, {intent},
        std::min(context.time_left(), settings.commit_timeout));
  } catch (const LaneLost& e) {
    // Nothing was dispatched here; the lane's current owner decides.
    throw NotOwner(e.what());
  } catch (const AppendTimeout&) {
    throw CallError(503, "journal_unavailable",
                    "the program's journal is unavailable; retry with the "
                    "same Idempotency-Key",
                    Verdict::kNotRun, kOutageRetryAfter);
  } catch (const EntryTooLarge&) {
    throw CallError(413, "too_large",
                    "the request is too large for the program's journal; send "
                    "less than 900 kB in one request",
                    Verdict::kNotRun);
  }
  if (!intent.idempotent && std::chrono::steady_clock::now() - commit_started >
                                settings.dispatch_window) {
    CancelIntent(fiber, context, intent);
  }
  log_.Write({.name = "call_begun",
              .customer = intent.customer,
              .program = intent.program,
              .key = intent.key,
              .backend = intent.backend,
              .lane = context.lane->lane(),
              .epoch = context.lane->epoch(),
              .call = intent.call,
              .detail = intent.target});
}

// The commit took longer than the dispatch window, for instance because the
// daemon was paused. The lane may have a new owner meanwhile that told the
// caller to check at the service whether the call ran. The call must not run
// after that check.
void CallJournal::CancelIntent(Fiber& fiber,
                               const CallContext& context,
                               const LaneEntry& intent) {
  auto outcome = context.MakeEntry(EntryKind::kCallDone);
  outcome.backend = intent.backend;
  outcome.verdict = intent.verdict;
  AppendOutcome(fiber, context, outcome);
  throw CallError(503, "dispatch_too_late",
                  "the daemon was delayed before it could dispatch the call; "
                  "retry with the same Idempotency-Key",
                  intent.verdict, kRetrySoon);
}

void CallJournal::AppendOutcome(Fiber& fiber,
                                const CallContext& context,
                                const LaneEntry& outcome) {
  try {
    context.lane->Append(fiber, {outcome}, context.time_left());
    return;
  } catch (const LaneLost& e) {
    if (outcome.kind != EntryKind::kCallDone) {
      throw NotOwner(e.what());
    }
    if (NextOwnerAccepts(context, outcome) &&
        relay_.Send(fiber, outcome, context.lane->epoch(),
                    std::max(context.time_left(), kMinRelayTimeout))) {
      return;
    }
  } catch (const AppendTimeout&) {
    // Reported below. The outcome stays queued and may still be recorded.
  }
  throw CallError(503, "outcome_not_recorded",
                  "the call was dispatched, but its outcome is not recorded "
                  "in the journal yet; fetch it with the same "
                  "Idempotency-Key",
                  Verdict::kMayHaveRun, kRetrySoon);
}

void CallJournal::CommitOutcome(Fiber& fiber,
                                const CallContext& context,
                                const LaneEntry& outcome) {
  try {
    AppendOutcome(fiber, context, outcome);
  } catch (const EntryTooLarge& e) {
    // The caller still receives the answer. The journal records without it
    // that the call ran, so that the call is not repeated.
    log_.Write({.name = "answer_not_kept",
                .customer = outcome.customer,
                .program = outcome.program,
                .key = outcome.key,
                .lane = context.lane->lane(),
                .detail = e.what()});
    auto without_answer = outcome;
    without_answer.answer.clear();
    AppendOutcome(fiber, context, without_answer);
  }
  log_.Write({.name = outcome.kind == EntryKind::kProgramEnded ? "program_ended"
                                                               : "call_done",
              .customer = outcome.customer,
              .program = outcome.program,
              .key = outcome.key,
              .backend = outcome.backend,
              .lane = context.lane->lane(),
              .epoch = context.lane->epoch(),
              .call = outcome.call,
              .detail = outcome.kind == EntryKind::kProgramEnded
                            ? std::string()
                            : std::string(ToString(outcome.verdict))});
}

}  // namespace comfreyfold
