#ifndef SERVER_CALL_CHECKS_H_
#define SERVER_CALL_CHECKS_H_

#include <string>

#include "wire/codec.h"

namespace comfreyfold {

// Refuses a name or key that cannot be part of a journal key or a log line.
// `what` says in the message which one it is.
void CheckName(const std::string& what, const std::string& text);

// Refuses a call that no step after this one could handle: names, body and
// time left. Throws CallError with the verdict "not run".
void CheckCall(const ForwardedCall& call);

}  // namespace comfreyfold

#endif  // SERVER_CALL_CHECKS_H_
