#include "core/token_bound.h"

#include <algorithm>

namespace comfreyfold {

namespace {

// Tokens that a chat template adds to a message, such as its role and
// separators.
constexpr std::int64_t kMessageTokens = 16;
// An answer that becomes part of a prompt may be split into other tokens. The
// bound allows for 1/8 more.
constexpr std::int64_t kRetokenizationDivisor = 8;

std::int64_t Bytes(const std::string& text) {
  return static_cast<std::int64_t>(text.size());
}

}  // namespace

std::int64_t PromptTokenBound(const ProgramState* program,
                              const std::string& model,
                              const AddedText& added) {
  // A token represents at least one byte of text.
  auto out = static_cast<std::int64_t>(added.bytes) +
             kMessageTokens * static_cast<std::int64_t>(added.messages);
  if (program == nullptr) {
    return out;
  }
  const auto& calls = program->calls;
  for (auto it = calls.rbegin(); it != calls.rend(); ++it) {
    if (it->kind != CallKind::kModel || !it->done ||
        it->verdict != Verdict::kRan) {
      continue;
    }
    // The engine counted the tokens of the history up to this call.
    const auto text = Bytes(it->request) + Bytes(it->answer);
    if (it->target == model && it->tokens > 0) {
      return out + it->tokens + it->tokens / kRetokenizationDivisor +
             std::min(text, 2 * kMessageTokens);
    }
    out += text + 2 * kMessageTokens;
  }
  return out;
}

}  // namespace comfreyfold
