#include "net/client_message.h"

namespace comfreyfold {

namespace beast = boost::beast;
namespace http = beast::http;

ClientMessage ToClientMessage(const std::string& address,
                              const HttpRequest& request,
                              const std::string& body) {
  ClientMessage out;
  out.version(11);
  out.method_string(request.method);
  out.target(request.target);
  out.set(http::field::host, address);
  for (const auto& it : request.headers) {
    if (beast::iequals(it.name, "host")) {
      out.set(http::field::host, it.value);
    } else {
      out.insert(it.name, it.value);
    }
  }
  out.body() = {body.data(), body.size()};
  out.prepare_payload();
  return out;
}

}  // namespace comfreyfold
