#include "server/grant_recall.h"

#include <chrono>

#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {
// Short because a call waits for the answers.
constexpr std::chrono::milliseconds kAnswerTimeout{500};
}  // namespace

void GrantRecall::Ask(Fiber& fiber,
                      const std::string& customer,
                      const std::vector<std::string>& daemons) {
  HttpOptions options;
  options.connect_timeout = kAnswerTimeout;
  options.idle_timeout = kAnswerTimeout;
  const auto body = Encode(GrantQuestion{{{customer, {}}}});
  for (const auto& it : daemons) {
    const auto peer = membership_.peers().find(it);
    if (peer == membership_.peers().end() ||
        !membership_.IsLive(it, std::chrono::steady_clock::now())) {
      continue;
    }
    const std::string address = peer->second.address;
    try {
      http_.Send(fiber, address,
                 {"POST", kGiveBackPath, {{"Content-Type", kThriftType}}, body},
                 options);
    } catch (const HttpFailure&) {
      // That daemon keeps its tokens; what the others give back may be enough.
    }
  }
}

bool GrantRecall::Handle(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  if (request.Path() != kGiveBackPath) {
    return false;
  }
  for (const auto& it : DecodeGrantQuestion(request.body).grants) {
    budgets_.GiveBackUnused(fiber, it.customer);
  }
  exchange.Reply(200, kThriftType, {});
  return true;
}

}  // namespace comfreyfold
