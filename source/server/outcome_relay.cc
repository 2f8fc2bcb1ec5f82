#include "server/outcome_relay.h"

#include "core/hash.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kOwnerRetry{20};
constexpr milliseconds kAppendTimeout{5000};

const CallRecord* FindOpen(const LaneState& state,
                           const LaneEntry& done,
                           std::int64_t epoch) {
  const auto* program = state.Find({done.customer, done.program});
  if (program == nullptr) {
    return nullptr;
  }
  const auto* call = program->FindCall(done.key);
  // Begun again since, it is another run whose outcome comes by itself.
  const bool open = call != nullptr && !call->done && call->epoch == epoch;
  return open ? call : nullptr;
}

// True when this very outcome is in the journal already.
bool IsRecorded(const LaneState& state, const LaneEntry& done) {
  const auto* program = state.Find({done.customer, done.program});
  const auto* call = program == nullptr ? nullptr : program->FindCall(done.key);
  return call != nullptr && call->done && call->verdict == done.verdict &&
         call->answer == done.answer;
}

}  // namespace

bool OutcomeRelay::Send(Fiber& fiber,
                        const LaneEntry& done,
                        std::int64_t epoch,
                        milliseconds timeout) {
  const LaneBlock outcome{0, {}, epoch, log_.daemon(), {done}};
  const int lane = LaneOf(done.customer, done.program, lanes_.lanes());
  const auto until = steady_clock::now() + timeout;
  while (steady_clock::now() < until) {
    const auto owner = membership_.OwnerOf(lane, steady_clock::now());
    if (owner) {
      const auto left =
          std::chrono::duration_cast<milliseconds>(until - steady_clock::now());
      const auto reception = Deliver(fiber, *owner, outcome, left);
      if (reception != Reception::kNotOwner) {
        return reception == Reception::kRecorded;
      }
    }
    fiber.Sleep(kOwnerRetry);
  }
  return false;
}

OutcomeRelay::Reception OutcomeRelay::Deliver(Fiber& fiber,
                                              const LaneOwnerView& owner,
                                              const LaneBlock& outcome,
                                              milliseconds timeout) {
  if (owner.daemon == membership_.self().daemon) {
    return Receive(fiber, outcome);
  }
  HttpOptions options;
  options.idle_timeout = timeout;
  try {
    const auto reply = http_.Send(fiber, owner.address,
                                  {"POST",
                                   kOutcomePath,
                                   {{"Content-Type", kThriftType}},
                                   Encode(outcome)},
                                  options);
    if (reply.status == 200) {
      return Reception::kRecorded;
    }
    return reply.status == kMisdirected ? Reception::kNotOwner
                                        : Reception::kRefused;
  } catch (const HttpFailure&) {
    // Sent again until the owner, or its successor, has answered: a second
    // time it finds the call done and refuses, which Receive tells apart.
    return Reception::kNotOwner;
  }
}

OutcomeRelay::Reception OutcomeRelay::Receive(Fiber& fiber,
                                              const LaneBlock& outcome) {
  if (outcome.entries.size() != 1 ||
      outcome.entries.front().kind != EntryKind::kCallDone) {
    return Reception::kRefused;
  }
  const auto& done = outcome.entries.front();
  const auto lane =
      lanes_.Find(LaneOf(done.customer, done.program, lanes_.lanes()));
  if (!lane) {
    return Reception::kNotOwner;
  }
  if (FindOpen(lane->state(), done, outcome.epoch) == nullptr) {
    return IsRecorded(lane->state(), done) ? Reception::kRecorded
                                           : Reception::kRefused;
  }
  try {
    lane->Append(fiber, {done}, kAppendTimeout);
  } catch (const LaneLost&) {
    return Reception::kNotOwner;
  } catch (const AppendTimeout&) {
    return Reception::kRefused;
  }
  log_.Write({.name = "outcome_received",
              .customer = done.customer,
              .program = done.program,
              .key = done.key,
              .lane = lane->lane(),
              .epoch = lane->epoch(),
              .call = done.call,
              .detail = outcome.owner});
  return Reception::kRecorded;
}

}  // namespace comfreyfold
