#ifndef CORE_SLOT_REQUEST_H_
#define CORE_SLOT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/client_call.h"
#include "core/time_point.h"

namespace comfreyfold {

// The progress of the program that a request belongs to.
enum class ProgramStage {
  kStarted,    // Servers have run some of it, or the request has no program.
  kReturning,  // It was refused before and is retried by its client.
  kNew,
};

// A request that needs a slot at a server.
struct SlotRequest {
  std::uint64_t ticket = 0;  // Identifies the request within the pool.
  int priority = 0;          // 0 is the most urgent.
  ProgramStage stage = ProgramStage::kStarted;
  TimePoint arrived{};
  TimePoint acquire_by{};  // A slot acquired later than this is useless.
  // When the program has used up the delay that it can take and still finish
  // in time.
  TimePoint must_start_by = TimePoint::max();
  bool late = false;  // The program can no longer finish in time.
  // It can, but not if its turns take as long as turns take at present.
  bool late_at_present_load = false;
  std::vector<PromptPart> prompt;
  std::string session;    // Its requests share most of their prompts.
  std::string cached_at;  // The server that ran its last turn, or empty.
  std::set<std::string> excluded;  // Servers that failed this request.
  // The software version that must go on with a stream; null: any server may
  // run the request.
  std::optional<std::string> version;
  // The software version that its stream preferably begins at; empty: any.
  std::string preferred_version;
};

// Whether `a` gets a slot before `b`.
bool GoesBefore(const SlotRequest& a, const SlotRequest& b);

// Whether the program of the request may begin, or go on, at `level` requests
// per slot.
bool MayBeginAt(double level, const SlotRequest& request, TimePoint now);

}  // namespace comfreyfold

#endif  // CORE_SLOT_REQUEST_H_
