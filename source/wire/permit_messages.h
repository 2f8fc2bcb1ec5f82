#ifndef WIRE_PERMIT_MESSAGES_H_
#define WIRE_PERMIT_MESSAGES_H_

#include <string>
#include <vector>

#include "core/permit_issuer.h"
#include "core/server_limit_table.h"

namespace comfreyfold {

// A daemon's request for permits of servers with a limit.
struct PermitQuestion {
  std::vector<PermitRequest> requests;
  std::vector<ServerLimit> limits;  // Of these servers.
  std::string address;              // Of the sender.
};

// The reply of an issuer.
struct PermitNews {
  std::vector<PermitReply> replies;
  std::vector<ServerLimit> limits;  // Those that the sender does not know.
  int daemons = 0;                  // Number of daemons that ask this issuer.
};

// Thrift compact encoding. The Decode functions throw WireError.
std::string Encode(const PermitQuestion& question);
std::string Encode(const PermitNews& news);
PermitQuestion DecodePermitQuestion(const std::string& buf);
PermitNews DecodePermitNews(const std::string& buf);

}  // namespace comfreyfold

#endif  // WIRE_PERMIT_MESSAGES_H_
