#ifndef NET_ERROR_REPLY_H_
#define NET_ERROR_REPLY_H_

#include <string>

#include "core/call_error.h"
#include "net/http_server.h"

namespace comfreyfold {

// Returns the JSON body of an error reply: code, message and verdict.
std::string ErrorBody(const CallError& error);

// Replies with `error`: the JSON body, the verdict as a header, and a
// Retry-After header if the error has a retry delay.
void ReplyError(HttpExchange& exchange, const CallError& error);

}  // namespace comfreyfold

#endif  // NET_ERROR_REPLY_H_
