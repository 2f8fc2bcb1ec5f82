#ifndef PROCESS_CHAT_H_
#define PROCESS_CHAT_H_

#include <string>

#include "harness/cluster.h"

namespace comfreyfold::process {

// A whole model turn as an agent program asks for it.
struct ChatTurn {
  std::string program;
  std::string key;
  std::string text = "hello";
  std::string model = "quote-large";
  std::string parent;  // Sent as Comfreyfold-Parent.
  int max_tokens = 8;
  std::string api_key = harness::kQuoteKey;
};

struct ChatReply {
  int status = 0;  // 0: the connection broke.
  std::string code;
  std::string message;
  std::string verdict;
  int retry_after = 0;  // Seconds.
};

// Sends `turn` through daemon `index`.
ChatReply Chat(Fiber& fiber,
               harness::Cluster& cluster,
               int index,
               const ChatTurn& turn);

// Prompt and generated tokens that the engines counted for a customer.
std::int64_t TokensAtEngines(harness::Cluster& cluster,
                             const std::string& customer);

// The quote contract with `lines` put under a section.
std::string ContractWith(const std::string& budget, const std::string& program);

}  // namespace comfreyfold::process

#endif  // PROCESS_CHAT_H_
