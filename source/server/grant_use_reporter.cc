#include "server/grant_use_reporter.h"

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
    const auto tokens = owner.state().UseOf(it);
    if (tokens != 0) {
      out.uses.push_back({owner.lane(), it, tokens});
    }
  }
}

}  // namespace

GrantAnswer GrantUseReporter::Answer(Fiber& fiber,
                                     const GrantQuestion& question) {
  GrantAnswer out;
  // The requester wrongly considers this daemon failed. This daemon continues
  // to use the grant in its lanes, so their present totals are not final.
  const bool reclaims_own_grant =
      std::any_of(question.grants.begin(), question.grants.end(),
                  [this](const GrantName& it) { return it.grant == run_; });
  if (reclaims_own_grant) {
    return out;
  }
  // Copied because lanes are taken and dropped while this fiber waits for the
  // journal.
  const auto owned = lanes_.owned();
  for (const auto& [lane, owner] : owned) {
    LaneEntry entry;
    entry.kind = EntryKind::kSealed;
    try {
      // An owner that was paused may have lost the lane without noticing, and
      // then lacks the newest uses. Only a commit proves that it still owns it.
      owner->Append(fiber, {entry}, kAppendTimeout);
    } catch (const std::runtime_error&) {
      continue;
    }
    AddUses(*owner, question, out);
    out.lanes.push_back(lane);
  }
  return out;
}

bool GrantUseReporter::Handle(Fiber& fiber,
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
