#include "server/urgent_sender.h"

#include <algorithm>

#include "core/call_error.h"

namespace comfreyfold {

namespace {
constexpr std::chrono::milliseconds kRetrySoon{500};
}  // namespace

ToolResult UrgentSender::Send(Fiber& fiber, const ForwardedCall& call) {
  const auto contract = contracts_.FindByName(call.customer);
  if (!contract || !contract->RuleFor(call.target).urgent) {
    throw CallError(403, "not_urgent",
                    "the contract does not call '" + call.target +
                        "' urgent; send it as a tool call",
                    Verdict::kNotRun);
  }
  const auto rule = contract->RuleFor(call.target);
  auto servers = directory_.Serving(VmRole::kService, call.target);
  const ToolCall tool_call{call.target, call.key,
                           call.customer + "/" + call.program, call.body,
                           rule.timeout};
  auto verdict = Verdict::kNotRun;
  std::string why = "no server offers '" + call.target + "'";
  const auto attempts = static_cast<std::size_t>(rule.attempts);
  for (std::size_t i = 0; i < attempts && !servers.empty(); ++i) {
    const auto* server = servers[i % servers.size()];
    log_.Write({.name = "urgent_sent",
                .customer = call.customer,
                .program = call.program,
                .key = call.key,
                .backend = server->vm.id,
                .detail = call.target});
    try {
      return tools_.Call(fiber, std::string(server->vm.address), tool_call);
    } catch (const BackendFailure& e) {
      verdict = std::max(verdict, e.verdict());
      why = e.what();
      servers = directory_.Serving(VmRole::kService, call.target);
    }
  }
  throw CallError(502, "urgent_failed", why + "; send it again", verdict,
                  kRetrySoon);
}

}  // namespace comfreyfold
