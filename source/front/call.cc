#include "front/call.h"

#include <algorithm>

#include "core/hash.h"

namespace comfreyfold {

RequestFingerprint FingerprintOf(const HttpRequest& request,
                                 const std::string& host) {
  const auto target =
      Hash64(request.target, Hash64(request.method, Hash64(host)));
  return {std::max<std::uint64_t>(Hash64(request.body, target), 1),
          std::max<std::uint64_t>(target, 1)};
}

CallError NotRunError(int status,
                      const char* code,
                      const std::string& message,
                      std::chrono::milliseconds retry_after) {
  return {status, code, message, Verdict::kNotRun, retry_after};
}

CallError QuarantinedError(std::chrono::milliseconds left) {
  constexpr int kUnavailable = 503;
  return NotRunError(kUnavailable, "quarantined",
                     "servers crashed each time they ran this request; change "
                     "it, or retry after the given time",
                     left);
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
