#include "server/grant_sealer.h"

#include <algorithm>

#include "server/peer_protocol.h"

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kAppendTimeout{1000};

void AddUses(const LaneOwner& owner,
             const GrantQuestion& question,
             GrantAnswer& out) {
  for (const auto& it : question.grants) {
    const auto tokens = owner.state().GrantTokens(it);
    if (tokens != 0) {
      out.uses.push_back({owner.lane(), it, tokens});
    }
  }
}

}  // namespace

GrantAnswer GrantSealer::Answer(Fiber& fiber, const GrantQuestion& question) {
  GrantAnswer out;
  // This daemon is held for dead and is not: it goes on using its grant in
  // the lanes it has, so their sums prove nothing.
  const bool own =
      std::any_of(question.grants.begin(), question.grants.end(),
                  [this](const GrantName& it) { return it.grant == run_; });
  if (own) {
    return out;
  }
  // Copied: lanes come and go while this waits for the journal.
  const auto owned = lanes_.owned();
  for (const auto& [lane, owner] : owned) {
    LaneEntry seal;
    seal.kind = EntryKind::kSealed;
    try {
      // An owner that was paused may have lost the lane unseen, and with it
      // the newest uses; only a commit shows that it has not.
      owner->Append(fiber, {seal}, kAppendTimeout);
    } catch (const std::runtime_error&) {
      continue;
    }
    AddUses(*owner, question, out);
    out.lanes.push_back(lane);
  }
  return out;
}

bool GrantSealer::Handle(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  if (request.Path() != kGrantUsePath) {
    return false;
  }
  const auto answer = Answer(fiber, DecodeGrantQuestion(request.body));
  exchange.Reply(200, kThriftType, Encode(answer));
  return true;
}

}  // namespace comfreyfold
