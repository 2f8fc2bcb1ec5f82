#ifndef CORE_PROGRAM_STATE_H_
#define CORE_PROGRAM_STATE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/lane_entry.h"

namespace comfreyfold {

// A call as recorded in the journal.
struct CallRecord {
  std::string key;
  std::int64_t call = 0;
  CallKind kind = CallKind::kModel;
  std::string target;
  std::string backend;
  bool idempotent = false;
  std::string request;
  std::uint64_t request_digest = 0;
  bool done = false;
  std::int64_t epoch = 0;  // Epoch of the owner that began the call.
  // The daemon that began the call and finishes it even after a handover. Empty
  // once the lane was taken over from a daemon that did not hand it over.
  std::string held_by;
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string answer;
  std::int64_t tokens = 0;

  bool operator==(const CallRecord&) const = default;
};

// The state of a program as recorded in the journal.
struct ProgramState {
  std::string customer;
  std::string program;
  std::vector<CallRecord> calls;   // Ordered by call number.
  std::set<std::string> holds_on;  // VM ids that may hold engine memory.
  bool ended = false;
  // The limit that ended the program; empty if its caller ended it.
  std::string passed_limit;
  std::int64_t tokens = 0;  // Tokens used by finished calls.
  // Begin of the first call since the Unix epoch; 0 before the first call.
  std::chrono::milliseconds started_at{};
  // Begin of the newest call since the Unix epoch.
  std::chrono::milliseconds last_begun_at{};
  std::set<std::string> subagents;  // Programs started by this program.

  // Returns the call with this idempotency key, or null if there is none.
  const CallRecord* FindCall(const std::string& key) const {
    const auto it = std::find_if(
        calls.begin(), calls.end(),
        [&key](const CallRecord& call) { return call.key == key; });
    return it == calls.end() ? nullptr : &*it;
  }

  // The number of the next new call.
  std::int64_t next_call() const {
    return static_cast<std::int64_t>(calls.size()) + 1;
  }

  bool operator==(const ProgramState&) const = default;
};

}  // namespace comfreyfold

#endif  // CORE_PROGRAM_STATE_H_
