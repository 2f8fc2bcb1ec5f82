#ifndef NET_ERROR_REPLY_H_
#define NET_ERROR_REPLY_H_

#include <string>

#include "core/call_error.h"
#include "net/http_server.h"

namespace comfreyfold {

// The body of every refusal and failure: code, message and verdict.
std::string ErrorBody(const CallError& error);

// Answers with `error`: its body, its verdict as a header, and Retry-After
// where waiting helps.
void ReplyError(HttpExchange& exchange, const CallError& error);

}  // namespace comfreyfold

#endif  // NET_ERROR_REPLY_H_
