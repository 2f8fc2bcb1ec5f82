#include "server/outcome_relay.h"

#include "core/hash.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kOwnerRetryInterval{20};
constexpr milliseconds kAppendTimeout{5000};
constexpr milliseconds kQueuePollInterval{100};

const CallRecord* FindOpenCall(const LaneState& state,
                               const LaneEntry& done,
                               std::int64_t epoch) {
  const auto* program = state.Find({done.customer, done.program});
  if (program == nullptr) {
    return nullptr;
  }
  const auto* call = program->FindCall(done.key);
  // A call of another epoch was begun again since; that run reports its own
  // outcome.
  const bool open = call != nullptr && !call->done && call->epoch == epoch;
  return open ? call : nullptr;
}

// True when the journal already has this outcome.
bool IsRecorded(const LaneState& state, const LaneEntry& done) {
  const auto* program = state.Find({done.customer, done.program});
  const auto* call = program == nullptr ? nullptr : program->FindCall(done.key);
  return call != nullptr && call->done && call->verdict == done.verdict &&
         call->answer == done.answer;
}

// True when an outcome of the call waits to be written to the journal.
bool IsQueued(const LaneOwner& lane, const LaneEntry& done) {
  const auto* queued = lane.PendingOutcome({done.customer, done.program});
  return queued != nullptr && queued->key == done.key;
}

}  // namespace

bool OutcomeRelay::Send(Fiber& fiber,
                        const LaneEntry& done,
                        std::int64_t epoch,
                        milliseconds timeout) {
  const LaneBlock outcome{0, {}, epoch, log_.daemon(), {done}};
  const int lane = LaneOf(done.customer, done.program, lanes_.lanes());
  const auto deadline = steady_clock::now() + timeout;
  while (steady_clock::now() < deadline) {
    const auto owner = membership_.OwnerOf(lane, steady_clock::now());
    if (owner) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          deadline - steady_clock::now());
      const auto reception = Deliver(fiber, *owner, outcome, left);
      if (reception == Reception::kRecorded ||
          reception == Reception::kRefused) {
        return reception == Reception::kRecorded;
      }
    }
    fiber.Sleep(kOwnerRetryInterval);
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
    if (reply.status == kOutcomePending) {
      return Reception::kPending;
    }
    return reply.status == kMisdirected ? Reception::kNotOwner
                                        : Reception::kRefused;
  } catch (const HttpFailure&) {
    // Reported as kNotOwner so that the outcome is sent again until the owner
    // or its successor answers. If the first request succeeded, Receive
    // recognizes the repeated outcome as recorded.
    return Reception::kNotOwner;
  }
}

OutcomeRelay::Reception OutcomeRelay::Record(Fiber& fiber,
                                             LaneOwner& lane,
                                             const LaneEntry& done) {
  if (!IsQueued(lane, done)) {
    try {
      lane.Append(fiber, {done}, kAppendTimeout);
      return Reception::kRecorded;
    } catch (const LaneLost&) {
      return Reception::kNotOwner;
    } catch (const AppendTimeout&) {
      // The outcome stays queued. How long its sender waits, the sender knows.
      return Reception::kPending;
    }
  }
  const auto give_up_at = steady_clock::now() + kAppendTimeout;
  while (IsQueued(lane, done) && !lane.lost() &&
         steady_clock::now() < give_up_at) {
    lane.WaitForChange(fiber, kQueuePollInterval);
  }
  if (lane.lost()) {
    return Reception::kNotOwner;
  }
  return IsRecorded(lane.state(), done) ? Reception::kRecorded
                                        : Reception::kPending;
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
  if (FindOpenCall(lane->state(), done, outcome.epoch) == nullptr) {
    return IsRecorded(lane->state(), done) ? Reception::kRecorded
                                           : Reception::kRefused;
  }
  const auto out = Record(fiber, *lane, done);
  if (out != Reception::kRecorded) {
    return out;
  }
  log_.Write({.name = "outcome_received",
              .customer = done.customer,
              .program = done.program,
              .key = done.key,
              .lane = lane->lane(),
              .epoch = lane->epoch(),
              .call = done.call,
              .detail = outcome.owner});
  return out;
}

}  // namespace comfreyfold
