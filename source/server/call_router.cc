#include "server/call_router.h"

#include <algorithm>

#include "core/call_error.h"
#include "core/hash.h"
#include "server/peer_protocol.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOwnerRetryInterval{50};
constexpr milliseconds kVerdictGrace{2000};

// Forwards each part of an answer only once, although several attempts may
// each send the answer from its start.
class DeduplicatingSink {
 public:
  explicit DeduplicatingSink(const FrameSink& sink) : sink_(sink) {}

  void StartAttempt() { attempt_bytes_ = 0; }

  void ForwardNew(const AnswerFrame& frame) {
    if (frame.kind != FrameKind::kDelta) {
      sink_(frame);
      return;
    }
    const auto repeated =
        std::min(frame.content.size(), forwarded_.size() - attempt_bytes_);
    RequireSameText(forwarded_.compare(attempt_bytes_, repeated, frame.content,
                                       0, repeated) == 0);
    attempt_bytes_ += repeated;
    if (repeated == frame.content.size()) {
      return;
    }
    auto rest = frame;
    rest.content.erase(0, repeated);
    forwarded_ += rest.content;
    attempt_bytes_ = forwarded_.size();
    sink_(rest);
  }

 private:
  // A model may answer differently when it is called again. A stream that has
  // begun with one answer must not continue with another.
  static void RequireSameText(bool same) {
    if (!same) {
      throw CallError(502, "stream_broken",
                      "the stream was interrupted and the new attempt gave a "
                      "different answer; fetch the complete answer by its "
                      "Idempotency-Key",
                      Verdict::kMayHaveRun);
    }
  }

  const FrameSink& sink_;
  std::string forwarded_;
  std::size_t attempt_bytes_ = 0;  // Received in the current attempt.
};

}  // namespace

CallRouter::CallRouter(Loop& loop,
                       HttpClient& http,
                       Membership& membership,
                       CallRunner& runner,
                       EventLog& log,
                       int lanes)
    : loop_(loop),
      http_(http),
      membership_(membership),
      runner_(runner),
      log_(log),
      lanes_(lanes) {}

void CallRouter::Route(Fiber& fiber,
                       const ForwardedCall& call,
                       const FrameSink& sink) {
  const auto give_up_at = std::chrono::steady_clock::now() + call.deadline;
  const int lane = LaneOf(call.customer, call.program, lanes_);
  DeduplicatingSink deduplicating_sink(sink);
  const FrameSink forward_once =
      [&deduplicating_sink](const AnswerFrame& frame) {
        deduplicating_sink.ForwardNew(frame);
      };
  auto attempt = call;
  bool sent = false;
  while (true) {
    const auto now = std::chrono::steady_clock::now();
    attempt.deadline =
        std::chrono::duration_cast<milliseconds>(give_up_at - now);
    if (attempt.deadline <= milliseconds::zero()) {
      throw CallError(503, "no_owner",
                      "the program's owner did not answer in time; retry "
                      "with the same Idempotency-Key",
                      sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
                      kOwnerRetryInterval);
    }
    const auto owner = membership_.OwnerOf(lane, now);
    deduplicating_sink.StartAttempt();
    try {
      if (owner && owner->daemon == membership_.self().daemon) {
        runner_.Run(fiber, attempt, forward_once);
        return;
      }
      if (owner) {
        log_.Write({.name = "call_forwarded",
                    .customer = call.customer,
                    .program = call.program,
                    .key = call.key,
                    .peer = owner->daemon,
                    .lane = lane,
                    .epoch = owner->epoch});
        Forward(fiber, *owner, attempt, forward_once);
        return;
      }
    } catch (const NotOwner&) {
      // This daemon's view of the lane owners is out of date. A heartbeat
      // will update it.
    } catch (const HttpFailure& e) {
      sent = sent || e.sent();
      membership_.Suspect(owner->daemon);
      log_.Write({.name = "owner_unreachable",
                  .customer = call.customer,
                  .program = call.program,
                  .key = call.key,
                  .peer = owner->daemon,
                  .lane = lane,
                  .epoch = owner->epoch,
                  .detail = e.what()});
    }
    fiber.Sleep(kOwnerRetryInterval);
  }
}

void CallRouter::Forward(Fiber& fiber,
                         const LaneOwnerView& owner,
                         const ForwardedCall& call,
                         const FrameSink& sink) {
  auto message = call;
  message.clock = log_.Stamp();
  FrameReader reader;
  bool done = false;
  HttpOptions options;
  // The owner times out at the deadline and knows whether the call ran. If
  // this daemon timed out at the same moment, it could only report that the
  // call may have run. It therefore waits a little longer.
  options.idle_timeout = call.deadline + kVerdictGrace;
  // A frozen owner keeps its connections open. Once it counts as dead and
  // another daemon owns the lane, its answer is not awaited any longer.
  const int lane = LaneOf(call.customer, call.program, lanes_);
  options.cancelled = [this, lane, &owner] {
    const auto at = std::chrono::steady_clock::now();
    const auto newest = membership_.OwnerOf(lane, at);
    // A live owner that handed the lane over still answers the calls that it
    // is running.
    return newest && newest->epoch > owner.epoch &&
           !membership_.IsLive(owner.daemon, at);
  };
  options.on_data = [&](std::string_view data) {
    reader.Feed(data, [&](const AnswerFrame& frame) {
      if (frame.clock != 0) {
        log_.ReceiveStamp(frame.clock);
      }
      if (frame.kind == FrameKind::kError) {
        throw CallError(frame.status, frame.code, frame.message, frame.verdict,
                        frame.retry_after);
      }
      done = done || frame.kind == FrameKind::kDone;
      sink(frame);
    });
  };
  const auto reply = http_.Send(
      fiber, owner.address,
      {"POST", kCallPath, {{"Content-Type", kThriftType}}, Encode(message)},
      options);
  if (reply.status == kMisdirected) {
    throw NotOwner("the daemon does not own the lane");
  }
  if (!done) {
    throw HttpFailure("owner " + owner.daemon + " did not send a final frame",
                      true);
  }
}

}  // namespace comfreyfold
