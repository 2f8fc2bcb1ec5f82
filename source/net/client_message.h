#ifndef NET_CLIENT_MESSAGE_H_
#define NET_CLIENT_MESSAGE_H_

// Only the sources in net/ include this header, so that no other code depends
// on Beast.

#include <string>

#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>

#include "net/http.h"

namespace comfreyfold {

// Refers to the body of the request instead of copying it.
using ClientMessage =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;

// Returns the message that sends `request` with `body`, which must outlive it,
// to `address`.
ClientMessage ToClientMessage(const std::string& address,
                              const HttpRequest& request,
                              const std::string& body);

}  // namespace comfreyfold

#endif  // NET_CLIENT_MESSAGE_H_
