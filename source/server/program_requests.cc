#include "server/program_requests.h"

#include <nlohmann/json.hpp>

#include "core/call_error.h"
#include "server/history.h"

namespace comfreyfold {

void ProgramRequests::AnswerFromRecord(const CallContext& context,
                                       const CallRecord& record) {
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.status = record.status;
  frame.content = record.answer;
  frame.completion_tokens = record.tokens;
  context.sink(frame);
}

void ProgramRequests::End(Fiber& fiber, CallContext& context) {
  const auto* program = context.state();
  if (program == nullptr || !program->ended) {
    journal_.CommitOutcome(fiber, context,
                           context.MakeEntry(EntryKind::kProgramEnded));
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = R"({"ended":true})";
  context.sink(frame);
}

void ProgramRequests::StartSubagent(Fiber& fiber, CallContext& context) {
  const auto* program = context.state();
  const auto limit = context.contract->max_subagents;
  const bool registered =
      program != nullptr && program->subagents.contains(context.call.key);
  if (!registered) {
    if (program != nullptr && program->ended) {
      throw CallError(410, "parent_ended",
                      "the program named by Comfreyfold-Parent has ended; "
                      "start this one without a parent",
                      Verdict::kNotRun);
    }
    const auto started = program == nullptr ? 0 : program->subagents.size();
    if (static_cast<int>(started) >= limit) {
      throw CallError(429, "subagent_limit",
                      "the contract allows " + std::to_string(limit) +
                          " sub-agents per program; continue without another",
                      Verdict::kNotRun);
    }
    journal_.CommitIntent(fiber, context,
                          context.MakeEntry(EntryKind::kSubagentStarted));
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  context.sink(frame);
}

void ProgramRequests::ReadHistory(const CallContext& context) {
  const auto* program = context.state();
  if (program == nullptr) {
    throw CallError(404, "no_program", "the program is unknown; check its name",
                    Verdict::kNotRun);
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = ProgramHistory(*program).dump();
  context.sink(frame);
}

void ProgramRequests::ReadAnswer(const CallContext& context) {
  const auto* program = context.state();
  const auto* record =
      program == nullptr ? nullptr : program->FindCall(context.call.key);
  if (record == nullptr) {
    throw CallError(404, "no_call",
                    "no call of the program has this key; it did not run",
                    Verdict::kNotRun);
  }
  if (!record->done || record->verdict != Verdict::kRan) {
    throw CallError(409, "no_answer", "the call has no recorded answer",
                    record->verdict);
  }
  AnswerFromRecord(context, *record);
}

}  // namespace comfreyfold
