#include "server/backend_chooser.h"

#include "core/call_error.h"

namespace comfreyfold {

namespace {

// Answers are on average about half as long as the caller's limit allows.
constexpr int kMeanAnswerDivisor = 2;

}  // namespace

ScheduledCall BackendChooser::BuildScheduledCall(
    const CallContext& context,
    const std::set<std::string>& avoid) const {
  ScheduledCall out;
  out.customer = context.program.customer;
  out.target = context.call.target;
  out.weight = context.contract->weight;
  out.priority = context.contract->priority;
  out.request.program =
      context.program.customer + "/" + context.program.program;
  out.request.avoid = avoid;
  const auto* program = context.state();
  out.first_call = program == nullptr || program->calls.empty();
  if (program != nullptr) {
    out.attained = program->tokens * settings_.prefill_per_token;
  }
  return out;
}

std::unique_ptr<ServerSlot> BackendChooser::ChooseEngine(
    Fiber& fiber,
    const CallContext& context,
    const TurnSize& size,
    const std::set<std::string>& avoid) {
  if (directory_.Serving(VmRole::kEngine, context.call.target).empty()) {
    throw CallError(
        404, "no_engine",
        "no engine serves model '" + context.call.target + "'; check its name",
        Verdict::kNotRun, kRetrySoon);
  }
  auto call = BuildScheduledCall(context, avoid);
  call.request.prompt_tokens = size.prompt_tokens;
  call.request.seen_tokens = size.seen_tokens;
  call.request.exported_tokens = size.exported_tokens;
  call.generation =
      size.answer_tokens / kMeanAnswerDivisor * settings_.decode_per_token;
  return engines_.Enter(fiber, std::move(call), context.time_left());
}

std::unique_ptr<ServerSlot> BackendChooser::ResumeOnEngine(
    Fiber& fiber,
    const CallContext& context,
    const std::string& engine) {
  auto call = BuildScheduledCall(context, {});
  call.server = engine;
  call.urgent = true;
  return engines_.Enter(fiber, std::move(call), context.time_left());
}

std::unique_ptr<ServerSlot> BackendChooser::ChooseService(
    Fiber& fiber,
    const CallContext& context,
    const std::set<std::string>& avoid) {
  if (directory_.Serving(VmRole::kService, context.call.target).empty()) {
    throw CallError(
        404, "no_service",
        "no server offers '" + context.call.target + "'; check its name",
        Verdict::kNotRun, kRetrySoon);
  }
  for (const auto& [name, rule] : context.contract->tools) {
    if (rule.urgent) {
      services_.scheduler().ReserveFor(name);
    }
  }
  return services_.Enter(fiber, BuildScheduledCall(context, avoid),
                         context.time_left());
}

}  // namespace comfreyfold
