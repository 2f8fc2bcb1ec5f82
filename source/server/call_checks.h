#ifndef SERVER_CALL_CHECKS_H_
#define SERVER_CALL_CHECKS_H_

#include <string>

#include "wire/codec.h"

namespace comfreyfold {

// Throws CallError (not run) when `text` cannot be part of a journal key or of
// a log line. `what` names the checked value in the error message.
void CheckName(const std::string& what, const std::string& text);

// Checks the names, the body and the deadline of a call before it is queued.
// Throws CallError (not run) when one of them is invalid.
void CheckCall(const ForwardedCall& call);

}  // namespace comfreyfold

#endif  // SERVER_CALL_CHECKS_H_
