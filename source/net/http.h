#ifndef NET_HTTP_H_
#define NET_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

namespace comfreyfold {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Returns the value of the first header with this name, ignoring case, or an
// empty string if there is none.
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  // Returns the target without its query string.
  std::string Path() const;
  // Returns the value of a query parameter without decoding it, or an empty
  // string if the query does not have it.
  std::string Query(std::string_view name) const;
};

// What marks the end of a reply's body.
enum class BodyFraming { kLength, kChunks, kConnectionEnd };

struct HttpReply {
  int status = 0;
  BodyFraming framing = BodyFraming::kLength;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

}  // namespace comfreyfold

#endif  // NET_HTTP_H_
