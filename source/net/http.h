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

// Finds a header without regard to case; empty when there is none.
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
  // The target without its query.
  std::string Path() const;
  // One parameter of the query, not decoded; empty when there is none.
  std::string Query(std::string_view name) const;
};

struct HttpReply {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(std::string_view name) const {
    return FindHeader(headers, name);
  }
};

}  // namespace comfreyfold

#endif  // NET_HTTP_H_
