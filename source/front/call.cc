#include "front/call.h"

namespace comfreyfold {

std::chrono::milliseconds TimeLeft(TimePoint deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
}

CallError NotRunError(int status,
                      const char* code,
                      const std::string& message,
                      std::chrono::milliseconds retry_after) {
  return {status, code, message, Verdict::kNotRun, retry_after};
}

const char* ToString(ProgramStage stage) {
  switch (stage) {
    case ProgramStage::kStarted:
      return "started";
    case ProgramStage::kReturning:
      return "returning";
    case ProgramStage::kNew:
      return "new";
  }
  return "";
}

}  // namespace comfreyfold
