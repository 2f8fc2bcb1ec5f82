#include "server/call_journal.h"

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kRetrySoon{500};
}  // namespace

void CallJournal::CommitIntent(Fiber& fiber,
                               const CallContext& context,
                               const LaneEntry& begun) {
  try {
    context.lane->Append(fiber, {begun}, context.left());
  } catch (const LaneLost& e) {
    // Whoever owns the lane now decides; here nothing was dispatched.
    throw NotOwner(e.what());
  } catch (const AppendTimeout&) {
    // The intent may be in a block that the service takes later. Without
    // this outcome behind it the program would wait for a call that was
    // never dispatched.
    auto refused = context.Entry(EntryKind::kCallDone);
    refused.verdict = Verdict::kNotRun;
    refused.status = 503;
    context.lane->AppendLater({refused});
    throw CallError(503, "journal_unavailable",
                    "the program's journal cannot be written now; retry "
                    "with the same Idempotency-Key",
                    Verdict::kNotRun, kRetrySoon);
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
  AppendOutcome(fiber, context, done);
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
