#ifndef CORE_CALL_ERROR_H_
#define CORE_CALL_ERROR_H_

#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>

#include "core/verdict.h"

namespace comfreyfold {

// When a refused caller should retry. kRetrySoon applies when the call waits
// for a lane to move or for a free slot at a backend server, kRetryLater when
// it waits for the key-value service or for the end of another call.
inline constexpr std::chrono::milliseconds kRetrySoon{500};
inline constexpr std::chrono::milliseconds kRetryLater{1000};

// A refusal or failure of a call, as reported to the caller.
class CallError : public std::runtime_error {
 public:
  // `code` is a stable identifier; `message` says what happened and what to do.
  CallError(int status,
            std::string code,
            const std::string& message,
            Verdict verdict,
            std::chrono::milliseconds retry_after = {})
      : std::runtime_error(message),
        status_(status),
        code_(std::move(code)),
        verdict_(verdict),
        retry_after_(retry_after) {}

  int status() const { return status_; }
  const std::string& code() const { return code_; }
  Verdict verdict() const { return verdict_; }
  // Zero when a retry will not help.
  std::chrono::milliseconds retry_after() const { return retry_after_; }

 private:
  int status_;
  std::string code_;
  Verdict verdict_;
  std::chrono::milliseconds retry_after_;
};

}  // namespace comfreyfold

#endif  // CORE_CALL_ERROR_H_
