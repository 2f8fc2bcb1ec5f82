#include "server/history.h"

#include <nlohmann/json.hpp>

namespace comfreyfold {

using nlohmann::json;

namespace {

std::string_view ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kModel:
      return "model";
    case CallKind::kTool:
      return "tool";
    case CallKind::kService:
      return "service";
  }
  return "";
}

}  // namespace

json ConversationMessages(const ProgramState* program) {
  json out = json::array();
  if (program == nullptr) {
    return out;
  }
  for (const auto& it : program->calls) {
    if (it.kind != CallKind::kModel || !it.done ||
        it.verdict != Verdict::kRan) {
      continue;
    }
    for (const auto& message : json::parse(it.request)) {
      out.push_back(message);
    }
    out.push_back({{"role", "assistant"}, {"content", it.answer}});
  }
  return out;
}

json NewMessages(const json& known, const json& sent) {
  if (sent.size() < known.size() ||
      !std::equal(known.begin(), known.end(), sent.begin())) {
    return sent;
  }
  json out = json::array();
  for (std::size_t i = known.size(); i < sent.size(); ++i) {
    out.push_back(sent[i]);
  }
  return out;
}

json ProgramHistory(const ProgramState& program) {
  json calls = json::array();
  for (const auto& it : program.calls) {
    json call = {{"call", it.call},
                 {"key", it.key},
                 {"kind", ToString(it.kind)},
                 {"target", it.target},
                 {"request", json::parse(it.request, nullptr, false)},
                 {"done", it.done},
                 {"verdict", ToString(it.verdict)},
                 {"tokens", it.tokens}};
    if (it.done) {
      call["status"] = it.status;
      call["answer"] = it.answer;
    }
    calls.push_back(std::move(call));
  }
  return {{"program", program.program},
          {"ended", program.ended},
          {"tokens", program.tokens},
          {"calls", calls},
          {"messages", ConversationMessages(&program)}};
}

}  // namespace comfreyfold
