#include "server/call_router.h"

#include <algorithm>

#include "core/call_error.h"
#include "core/hash.h"
#include "server/peer_protocol.h"

namespace comfreyfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOwnerRetry{50};
constexpr milliseconds kVerdictGrace{2000};

// Passes each piece of an answer on once, though the call may be asked of
// several owners in turn.
class OnceSink {
 public:
  explicit OnceSink(const FrameSink& sink) : sink_(sink) {}

  void StartAttempt() { seen_bytes_ = 0; }

  void Take(const AnswerFrame& frame) {
    if (frame.kind != FrameKind::kDelta) {
      sink_(frame);
      return;
    }
    const auto again =
        std::min(frame.content.size(), passed_.size() - seen_bytes_);
    Check(passed_.compare(seen_bytes_, again, frame.content, 0, again) == 0);
    seen_bytes_ += again;
    if (again == frame.content.size()) {
      return;
    }
    auto rest = frame;
    rest.content.erase(0, again);
    passed_ += rest.content;
    seen_bytes_ = passed_.size();
    sink_(rest);
  }

 private:
  // A model asked twice may answer differently; a stream that has begun
  // with one answer must not go on with another.
  static void Check(bool same) {
    if (!same) {
      throw CallError(502, "stream_broken",
                      "the stream broke and the answer was made anew; "
                      "fetch the whole answer by its Idempotency-Key",
                      Verdict::kMayHaveRun);
    }
  }

  const FrameSink& sink_;
  std::string passed_;
  std::size_t seen_bytes_ = 0;  // Of `passed_`, in this attempt.
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
  const auto until = std::chrono::steady_clock::now() + call.deadline;
  const int lane = LaneOf(call.customer, call.program, lanes_);
  OnceSink once(sink);
  const FrameSink pass = [&once](const AnswerFrame& frame) {
    once.Take(frame);
  };
  auto attempt = call;
  bool sent = false;
  while (true) {
    const auto now = std::chrono::steady_clock::now();
    attempt.deadline = std::chrono::duration_cast<milliseconds>(until - now);
    if (attempt.deadline <= milliseconds::zero()) {
      throw CallError(503, "no_owner",
                      "the program's owner did not answer in time; retry "
                      "with the same Idempotency-Key",
                      sent ? Verdict::kMayHaveRun : Verdict::kNotRun,
                      kOwnerRetry);
    }
    const auto owner = membership_.OwnerOf(lane, now);
    once.StartAttempt();
    try {
      if (owner && owner->daemon == membership_.self().daemon) {
        runner_.Run(fiber, attempt, pass);
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
        Forward(fiber, *owner, attempt, pass);
        return;
      }
    } catch (const NotOwner&) {
      // The view of the owners is behind: wait for a heartbeat.
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
    fiber.Sleep(kOwnerRetry);
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
  // The owner gives up at the deadline and knows whether the call ran; an
  // entry that gave up at the same moment could only say that it may have.
  options.idle_timeout = call.deadline + kVerdictGrace;
  // An owner that froze keeps its connections open: once another daemon
  // owns the lane no answer from the old owner is worth waiting for.
  const int lane = LaneOf(call.customer, call.program, lanes_);
  options.cancelled = [this, lane, &owner] {
    const auto at = std::chrono::steady_clock::now();
    const auto newest = membership_.OwnerOf(lane, at);
    // One that handed the lane over still answers what it runs.
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
    throw NotOwner("owner has moved");
  }
  if (!done) {
    throw HttpFailure("owner " + owner.daemon + " broke the answer off", true);
  }
}

}  // namespace comfreyfold
