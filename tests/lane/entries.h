#ifndef LANE_ENTRIES_H_
#define LANE_ENTRIES_H_

#include <string>

#include "core/lane_state.h"

namespace comfreyfold::lane {

inline constexpr std::uint64_t kDigest = 7;

// Returns an entry for the tool call `key` of `program`.
inline LaneEntry Entry(EntryKind kind,
                       const std::string& program,
                       const std::string& key) {
  LaneEntry out;
  out.kind = kind;
  out.customer = "c";
  out.program = program;
  out.key = key;
  out.call_kind = CallKind::kTool;
  out.request_digest = kDigest;
  out.grant = "run";
  out.tokens = 3;
  return out;
}

// Returns the outcome of a call that ran and returned `answer`.
inline LaneEntry Ran(const std::string& program,
                     const std::string& key,
                     const std::string& answer) {
  auto out = Entry(EntryKind::kCallDone, program, key);
  out.verdict = Verdict::kRan;
  out.answer = answer;
  return out;
}

inline CallClaim Claim(const std::string& program, const std::string& key) {
  return {{"c", program}, key, 0, kDigest};
}

}  // namespace comfreyfold::lane

#endif  // LANE_ENTRIES_H_
