#include "net/json_parser.h"

namespace comfreyfold {

using nlohmann::json;

// The library parses and destroys nested values iteratively, but copies,
// compares and prints them recursively, with stack space for each level.
json ParseJson(std::string_view text, bool* too_deep) {
  bool exceeded = false;
  const json::parser_callback_t check_depth =
      [&exceeded](int depth, json::parse_event_t, const json&) {
        exceeded = exceeded || depth > kMaxJsonDepth;
        return !exceeded;
      };
  auto out = json::parse(text, check_depth, false);
  if (too_deep != nullptr) {
    *too_deep = exceeded;
  }
  return exceeded ? json(json::value_t::discarded) : out;
}

}  // namespace comfreyfold
