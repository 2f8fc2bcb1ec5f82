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
                           context.Entry(EntryKind::kProgramEnded));
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = R"({"ended":true})";
  context.sink(frame);
}

void ProgramRequests::ReadHistory(const CallContext& context) {
  const auto* program = context.state();
  if (program == nullptr) {
    throw CallError(404, "no_program",
                    "the program is not known; check its name",
                    Verdict::kNotRun);
  }
  AnswerFrame frame;
  frame.kind = FrameKind::kDone;
  frame.content = HistoryOf(*program).dump();
  context.sink(frame);
}

void ProgramRequests::ReadAnswer(const CallContext& context) {
  const auto* program = context.state();
  const CallRecord* record = nullptr;
  if (program != nullptr) {
    for (const auto& it : program->calls) {
      if (it.key == context.call.key) {
        record = &it;
      }
    }
  }
  if (record == nullptr) {
    throw CallError(404, "no_call",
                    "no call of the program has this key; it did not run",
                    Verdict::kNotRun);
  }
  if (!record->done || record->verdict != Verdict::kRan) {
    throw CallError(409, "no_answer", "the call has no answer on record",
                    record->verdict);
  }
  AnswerFromRecord(context, *record);
}

}  // namespace comfreyfold
