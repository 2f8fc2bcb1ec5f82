#include "server/call_checks.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/call_error.h"
#include "net/json_parser.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameLength = 200;
constexpr std::chrono::hours kMaxDeadline{1};

[[noreturn]] void Refuse(const char* code, const std::string& message) {
  throw CallError(400, code, message, Verdict::kNotRun);
}

// Limits the nesting depth, because every later step that parses or writes the
// body uses stack space for each level.
json ParseBody(const std::string& body) {
  bool too_deep = false;
  auto out = ParseJson(body, &too_deep);
  if (too_deep) {
    Refuse("nested_too_deep", "the body is nested deeper than " +
                                  std::to_string(kMaxJsonDepth) +
                                  " levels; flatten it");
  }
  if (out.is_discarded()) {
    Refuse("bad_json", "the body must be JSON in UTF-8");
  }
  return out;
}

bool NeedsKey(Operation operation) {
  return operation != Operation::kEnd && operation != Operation::kHistory;
}

void CheckMessages(const json& messages) {
  if (!messages.is_array() || messages.empty()) {
    Refuse("bad_request", "'messages' must be a non-empty list");
  }
  for (const auto& it : messages) {
    if (!it.is_object() || !it.value("role", json()).is_string() ||
        !it.value("content", json()).is_string()) {
      Refuse("bad_request",
             "each message must have 'role' and 'content' as strings");
    }
  }
}

void CheckModelBody(const json& body) {
  if (!body.is_object()) {
    Refuse("bad_json", "the body must be a JSON object");
  }
  if (!body.value("model", json()).is_string()) {
    Refuse("bad_request", "'model' must be a string");
  }
  CheckMessages(body.value("messages", json()));
  const auto tokens = body.value("max_tokens", json(1));
  if (!tokens.is_number_integer() || tokens.get<std::int64_t>() < 1) {
    Refuse("bad_request", "'max_tokens' must be an integer of at least 1");
  }
  if (!body.value("stream", json(false)).is_boolean()) {
    Refuse("bad_request", "'stream' must be true or false");
  }
}

}  // namespace

void CheckName(const std::string& what, const std::string& text) {
  const bool valid = !text.empty() && text.size() <= kMaxNameLength &&
                     std::all_of(text.begin(), text.end(), [](unsigned char c) {
                       return c > ' ' && c < 127 && c != '/';
                     });
  if (!valid) {
    Refuse("bad_name", what +
                           " must be 1 to 200 printable ASCII characters "
                           "without '/' or space");
  }
}

void CheckCall(const ForwardedCall& call) {
  CheckName("the customer", call.customer);
  CheckName("Comfreyfold-Program", call.program);
  // Requests about the program itself need no key.
  if (!call.key.empty() || NeedsKey(call.operation)) {
    CheckName("Idempotency-Key", call.key);
  }
  if (!call.parent.empty()) {
    CheckName("Comfreyfold-Parent", call.parent);
  }
  if (call.deadline <= call.deadline.zero() || call.deadline > kMaxDeadline) {
    Refuse("bad_deadline",
           "the time left until the deadline must be above 0 and at most 1 h");
  }
  switch (call.operation) {
    case Operation::kModel:
      CheckModelBody(ParseBody(call.body));
      CheckName("'model'", call.target);
      break;
    case Operation::kTool:
    case Operation::kService:
      ParseBody(call.body);
      CheckName("the name in the path", call.target);
      break;
    case Operation::kEnd:
    case Operation::kHistory:
    case Operation::kAnswer:
    case Operation::kSubagent:
      break;
  }
}

}  // namespace comfreyfold
