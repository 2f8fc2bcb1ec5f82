#ifndef PROCESS_BAD_REQUESTS_H_
#define PROCESS_BAD_REQUESTS_H_

#include <string>
#include <vector>

#include "net/http.h"

namespace comfreyfold::process {

// The bounds that the daemons under test are given.
inline constexpr int kBodyBytes = 65536;
inline constexpr int kHeaderBytes = 4096;

inline constexpr char kChat[] = "/v1/chat/completions";
inline constexpr char kGoodChat[] =
    R"({"model":"quote-large","messages":[{"role":"user","content":"hi"}]})";

// A request and the error that it has to get.
struct BadRequest {
  const char* what;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
  int status;
  const char* code;
};

// One of each kind.
std::vector<BadRequest> BadRequests();

}  // namespace comfreyfold::process

#endif  // PROCESS_BAD_REQUESTS_H_
