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

// A call as the journal knows it.
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
  std::int64_t epoch = 0;  // Of the owner that began it.
  // The daemon that still runs it after a handover; empty once the lane was
  // taken from a daemon that did not hand it over.
  std::string held_by;
  Verdict verdict = Verdict::kNotRun;
  int status = 0;
  std::string answer;
  std::int64_t tokens = 0;

  bool operator==(const CallRecord&) const = default;
};

struct ProgramState {
  std::string customer;
  std::string program;
  std::vector<CallRecord> calls;   // In the order of the program.
  std::set<std::string> holds_on;  // VM ids that may hold engine memory.
  bool ended = false;
  std::string passed_limit;  // Why it was ended; empty: by its caller.
  std::int64_t tokens = 0;   // Used so far.
  std::chrono::milliseconds started_at{};     // Since 1970; 0: no call yet.
  std::chrono::milliseconds last_begun_at{};  // Of its newest call.
  std::set<std::string> subagents;            // Programs it has started.

  // The call of that key; null: there is none.
  const CallRecord* FindCall(const std::string& key) const {
    const auto it = std::find_if(
        calls.begin(), calls.end(),
        [&key](const CallRecord& call) { return call.key == key; });
    return it == calls.end() ? nullptr : &*it;
  }

  // The place the next new call takes.
  std::int64_t next_call() const {
    return static_cast<std::int64_t>(calls.size()) + 1;
  }

  bool operator==(const ProgramState&) const = default;
};

}  // namespace comfreyfold

#endif  // CORE_PROGRAM_STATE_H_
