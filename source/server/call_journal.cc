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
bool NextOwnerAccepts(const CallContext& context, const LaneEntry& done) {
  if (context.lane->handed_over()) {
    return true;
  }
  const auto* program = context.state();
  const auto* call = program == nullptr ? nullptr : program->FindCall(done.key);
  return done.verdict == Verdict::kRan && call != nullptr && !call->idempotent;
}

}  // namespace

void CallJournal::CommitIntent(Fiber& fiber,
                               const CallContext& context,
                               const LaneEntry& begun) {
  const auto commit_started = std::chrono::steady_clock::now();
  const auto& settings = context.lane->settings();
  try {
    context.lane->Append(fiber, {begun},
                         std::min(context.left(), settings.commit_timeout));
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
  if (!begun.idempotent && std::chrono::steady_clock::now() - commit_started >
                               settings.dispatch_window) {
    CancelIntent(fiber, context, begun);
  }
  log_.Write({.name = "call_begun",
              .customer = begun.customer,
              .program = begun.program,
              .key = begun.key,
              .backend = begun.backend,
              .lane = context.lane->lane(),
              .epoch = context.lane->epoch(),
              .call = begun.call,
              .detail = begun.target});
}

// The commit took longer than the dispatch window, for instance because the
// daemon was paused. The lane may have a new owner meanwhile that told the
// caller to check at the service whether the call ran. The call must not run
// after that check.
void CallJournal::CancelIntent(Fiber& fiber,
                               const CallContext& context,
                               const LaneEntry& begun) {
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = begun.backend;
  done.verdict = begun.verdict;
  AppendOutcome(fiber, context, done);
  throw CallError(503, "dispatch_too_late",
                  "the daemon was delayed before it could dispatch the call; "
                  "retry with the same Idempotency-Key",
                  begun.verdict, kRetrySoon);
}

void CallJournal::AppendOutcome(Fiber& fiber,
                                const CallContext& context,
                                const LaneEntry& done) {
  try {
    context.lane->Append(fiber, {done}, context.left());
    return;
  } catch (const LaneLost& e) {
    if (done.kind != EntryKind::kCallDone) {
      throw NotOwner(e.what());
    }
    if (NextOwnerAccepts(context, done) &&
        relay_.Send(fiber, done, context.lane->epoch(),
                    std::max(context.left(), kMinRelayTimeout))) {
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
                                const LaneEntry& done) {
  try {
    AppendOutcome(fiber, context, done);
  } catch (const EntryTooLarge& e) {
    // The caller still receives the answer. The journal records without it
    // that the call ran, so that the call is not repeated.
    log_.Write({.name = "answer_not_kept",
                .customer = done.customer,
                .program = done.program,
                .key = done.key,
                .lane = context.lane->lane(),
                .detail = e.what()});
    auto without_answer = done;
    without_answer.answer.clear();
    AppendOutcome(fiber, context, without_answer);
  }
  log_.Write({.name = done.kind == EntryKind::kProgramEnded ? "program_ended"
                                                            : "call_done",
              .customer = done.customer,
              .program = done.program,
              .key = done.key,
              .backend = done.backend,
              .lane = context.lane->lane(),
              .epoch = context.lane->epoch(),
              .call = done.call,
              .detail = done.kind == EntryKind::kProgramEnded
                            ? std::string()
                            : std::string(ToString(done.verdict))});
}

}  // namespace comfreyfold
