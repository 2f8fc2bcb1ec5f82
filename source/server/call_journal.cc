#include "server/call_journal.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kRetryInOutage{2000};
}  // namespace

void CallJournal::CommitIntent(Fiber& fiber,
                               const CallContext& context,
                               const LaneEntry& begun) {
  const auto sent = std::chrono::steady_clock::now();
  const auto& settings = context.lane->settings();
  try {
    context.lane->Append(fiber, {begun},
                         std::min(context.left(), settings.commit_timeout));
  } catch (const LaneLost& e) {
    // Whoever owns the lane now decides; here nothing was dispatched.
    throw NotOwner(e.what());
  } catch (const AppendTimeout&) {
    throw CallError(503, "journal_unavailable",
                    "the program's journal cannot be written now; retry "
                    "with the same Idempotency-Key",
                    Verdict::kNotRun, kRetryInOutage);
  } catch (const EntryTooLarge&) {
    throw CallError(413, "too_large",
                    "the request does not fit the program's journal; send "
                    "less than 900 kB at once",
                    Verdict::kNotRun);
  }
  if (!begun.idempotent &&
      std::chrono::steady_clock::now() - sent > settings.dispatch_window) {
    Withdraw(fiber, context, begun);
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

// The daemon was paused after the commit. The lane may have a new owner who
// has told the caller to check at the service whether the call ran: it must
// not run after that check.
void CallJournal::Withdraw(Fiber& fiber,
                           const CallContext& context,
                           const LaneEntry& begun) {
  auto done = context.Entry(EntryKind::kCallDone);
  done.backend = begun.backend;
  done.verdict = begun.verdict;
  AppendOutcome(fiber, context, done);
  throw CallError(503, "dispatch_too_late",
                  "the daemon was held up before it could dispatch the call; "
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
    if (context.lane->handed_over() &&
        relay_.Send(fiber, done, context.lane->epoch(), context.left())) {
      return;
    }
  } catch (const AppendTimeout&) {
    // Reported below: the outcome stays pending and may yet be recorded.
  }
  throw CallError(503, "outcome_not_recorded",
                  "the call was dispatched but its outcome is not in the "
                  "journal; fetch it with the same Idempotency-Key",
                  Verdict::kMayHaveRun, kRetrySoon);
}

void CallJournal::CommitOutcome(Fiber& fiber,
                                const CallContext& context,
                                const LaneEntry& done) {
  try {
    AppendOutcome(fiber, context, done);
  } catch (const EntryTooLarge& e) {
    // The answer still reaches its caller; the journal keeps that the call
    // ran, so that it is not repeated.
    log_.Write({.name = "answer_not_kept",
                .customer = done.customer,
                .program = done.program,
                .key = done.key,
                .lane = context.lane->lane(),
                .detail = e.what()});
    auto without = done;
    without.answer.clear();
    AppendOutcome(fiber, context, without);
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
