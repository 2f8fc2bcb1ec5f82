#include "server/grant_sealer.h"

#include "wire/codec.h"

namespace comfreyfold {

namespace {

constexpr char kPath[] = "/peer/grant-use";
constexpr char kThriftType[] = "application/vnd.apache.thrift.compact";
constexpr std::chrono::milliseconds kAppendTimeout{1000};

// Adds the lane's uses; false when its journal does not prove them.
bool AddUses(const LaneOwner& owner,
             const GrantQuestion& question,
             GrantAnswer& out) {
  for (const auto& it : question.grants) {
    const auto tokens = owner.state().UseOf(it);
    if (!tokens) {
      return false;
    }
    if (*tokens != 0) {
      out.uses.push_back({owner.lane(), it, *tokens});
    }
  }
  return true;
}

}  // namespace

GrantAnswer GrantSealer::Answer(Fiber& fiber, const GrantQuestion& question) {
  GrantAnswer out;
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
    if (AddUses(*owner, question, out)) {
      out.lanes.push_back(lane);
    }
  }
  return out;
}

bool GrantSealer::Handle(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  if (request.Path() != kPath) {
    return false;
  }
  const auto answer = Answer(fiber, DecodeGrantQuestion(request.body));
  exchange.Reply(200, kThriftType, Encode(answer));
  return true;
}

}  // namespace comfreyfold
