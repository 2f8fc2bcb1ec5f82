#include "server/urgent_sender.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

ToolResult UrgentSender::Send(Fiber& fiber, const ForwardedCall& call) {
  const auto contract = contracts_.FindByName(call.customer);
  if (!contract || !contract->RuleFor(call.target).urgent) {
    throw CallError(403, "not_urgent",
                    "the contract does not declare '" + call.target +
                        "' as urgent; send it as a tool call",
                    Verdict::kNotRun);
  }
  const auto rule = contract->RuleFor(call.target);
  const ToolCall tool_call{call.target, call.key,
                           call.customer + "/" + call.program, call.body,
                           rule.timeout};
  std::set<std::string> failed;
  auto verdict = Verdict::kNotRun;
  std::string failure_text = "no server offers '" + call.target + "'";
  for (int i = 0; i < rule.attempts; ++i) {
    const auto slot = Choose(fiber, call, failed);
    const auto* server = slot ? directory_.Find(slot->server()) : nullptr;
    if (server == nullptr) {
      break;
    }
    log_.Write({.name = "urgent_sent",
                .customer = call.customer,
                .program = call.program,
                .key = call.key,
                .backend = server->vm.id,
                .detail = call.target});
    try {
      return tools_.Call(fiber, std::string(server->vm.address), tool_call);
    } catch (const BackendFailure& e) {
      slot->MarkFailed();
      directory_.RecheckLoad(slot->server());
      failed.insert(slot->server());
      verdict = std::max(verdict, e.verdict());
      failure_text = e.what();
    }
  }
  throw CallError(502, "urgent_failed", failure_text + "; send it again",
                  verdict, kRetrySoon);
}

// Returns null when no server offers the service. The retry budget does not
// apply, because urgent messages are few and each of them must arrive.
std::unique_ptr<ServerSlot> UrgentSender::Choose(
    Fiber& fiber,
    const ForwardedCall& call,
    const std::set<std::string>& failed) {
  if (directory_.Serving(VmRole::kService, call.target).empty()) {
    return nullptr;
  }
  ScheduledCall urgent;
  urgent.customer = call.customer;
  urgent.target = call.target;
  urgent.request.avoid = failed;
  urgent.urgent = true;
  return services_.Enter(fiber, std::move(urgent), call.deadline);
}

}  // namespace comfreyfold
