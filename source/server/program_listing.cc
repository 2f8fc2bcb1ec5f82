#include "server/program_listing.h"

#include <nlohmann/json.hpp>

namespace comfreyfold {

namespace {

using nlohmann::json;

std::string StateOf(const ProgramState& program) {
  if (!program.ended) {
    return program.calls.empty() || program.calls.back().done ? "waiting"
                                                              : "in_call";
  }
  return program.passed_limit.empty() ? "ended" : program.passed_limit;
}

}  // namespace

bool ProgramListing::Handle(const HttpRequest& request,
                            HttpExchange& exchange) const {
  if (request.Path() != "/operator/programs") {
    return false;
  }
  const auto customer = request.Query("customer");
  json programs = json::array();
  for (const auto& [lane, owner] : lanes_.owned()) {
    for (const auto& [key, it] : owner->state().programs()) {
      if (key.customer != customer) {
        continue;
      }
      programs.push_back({{"program", key.program},
                          {"state", StateOf(it)},
                          {"owner", daemon_},
                          {"lane", lane},
                          {"epoch", owner->epoch()},
                          {"calls", it.calls.size()},
                          {"tokens", it.tokens},
                          {"subagents", it.subagents.size()},
                          {"holds_on", it.holds_on},
                          {"started_at_ms", it.started_at.count()}});
    }
  }
  exchange.Reply(200, "application/json",
                 json{{"customer", customer}, {"programs", programs}}.dump());
  return true;
}

}  // namespace comfreyfold
