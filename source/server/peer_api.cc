#include "server/peer_api.h"

#include <utility>

#include "core/call_error.h"
#include "net/error_reply.h"
#include "server/call_checks.h"
#include "server/peer_protocol.h"

namespace comfreyfold {

namespace {

AnswerFrame ErrorFrame(const CallError& e) {
  AnswerFrame out;
  out.kind = FrameKind::kError;
  out.status = e.status();
  out.code = e.code();
  out.message = e.what();
  out.verdict = e.verdict();
  out.retry_after = e.retry_after();
  return out;
}

}  // namespace

PeerApi::PeerApi(Membership& membership,
                 CallRunner& runner,
                 OutcomeRelay& relay,
                 EventLog& log,
                 std::function<void()> on_lanes_released)
    : membership_(membership),
      runner_(runner),
      relay_(relay),
      log_(log),
      on_lanes_released_(std::move(on_lanes_released)) {}

bool PeerApi::Handle(Fiber& fiber,
                     const HttpRequest& request,
                     HttpExchange& exchange) {
  const auto path = request.Path();
  try {
    if (path == kCallPath) {
      HandleCall(fiber, request, exchange);
      return true;
    }
    if (path == kOutcomePath) {
      HandleOutcome(fiber, request, exchange);
      return true;
    }
    if (path == kHeartbeatPath) {
      HandleHeartbeat(request, exchange);
      return true;
    }
  } catch (const WireError& e) {
    ReplyError(exchange, CallError(400, "bad_body",
                                   std::string(e.what()) +
                                       "; run the same version on each daemon",
                                   Verdict::kNotRun));
    return true;
  }
  return false;
}

void PeerApi::HandleCall(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& exchange) {
  const auto call = DecodeForwardedCall(request.body);
  CheckCall(call);
  log_.ReceiveStamp(call.clock);
  const auto send = [this, &exchange](AnswerFrame frame) {
    if (!exchange.begun()) {
      exchange.Begin(200, kThriftType);
    }
    frame.clock = log_.Stamp();
    exchange.Write(EncodeFramed(frame));
  };
  try {
    runner_.Run(fiber, call, send);
  } catch (const NotOwner& e) {
    if (!exchange.begun()) {
      exchange.Reply(kMisdirected, "text/plain", e.what());
    } else {
      exchange.Abort();
    }
    return;
  } catch (const CallError& e) {
    send(ErrorFrame(e));
  }
  exchange.End();
}

void PeerApi::HandleOutcome(Fiber& fiber,
                            const HttpRequest& request,
                            HttpExchange& exchange) {
  const auto outcome = DecodeLaneBlock(request.body);
  switch (relay_.Receive(fiber, outcome)) {
    case OutcomeRelay::Reception::kRecorded:
      exchange.Reply(200, "text/plain", "recorded");
      break;
    case OutcomeRelay::Reception::kRefused:
      exchange.Reply(409, "text/plain", "not recorded");
      break;
    case OutcomeRelay::Reception::kNotOwner:
      exchange.Reply(kMisdirected, "text/plain", "not the owner");
      break;
    case OutcomeRelay::Reception::kPending:
      exchange.Reply(kOutcomePending, "text/plain", "not recorded yet");
      break;
  }
}

void PeerApi::HandleHeartbeat(const HttpRequest& request,
                              HttpExchange& exchange) {
  const auto message = DecodeMemberMessage(request.body);
  const auto& sender = message.sender;
  log_.ReceiveStamp(sender.clock);
  const auto before = membership_.peers().find(sender.daemon);
  const bool released_lanes = before != membership_.peers().end() &&
                              sender.lanes.size() < before->second.lanes.size();
  membership_.Receive(message, std::chrono::steady_clock::now());
  if (released_lanes) {
    on_lanes_released_();
  }
  const auto reply = membership_.Compose(sender.daemon, log_.Stamp());
  exchange.Reply(200, kThriftType, Encode(reply));
}

}  // namespace comfreyfold
