#include "front/server_call.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr int kSuccess = 2;  // Hundreds of the status.
// A handshake takes a millisecond or two; packets that are lost, another
// second. Nothing is lost by trying another server sooner.
constexpr std::chrono::milliseconds kConnectTimeout{350};
// Servers may drop idle connections before they say so, and what is written
// to one of these is lost: requests that must not be repeated avoid them.
constexpr std::chrono::milliseconds kLongestIdleOnce{1500};
constexpr std::chrono::milliseconds kLongestIdle{8000};

std::chrono::milliseconds Until(TimePoint at) {
  return std::max(std::chrono::milliseconds(1),
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      at - std::chrono::steady_clock::now()));
}

}  // namespace

ServerCall::ServerCall(HttpClient& http,
                       const Dialect& dialect,
                       HttpExchange& client,
                       StreamProgress& progress)
    : http_(http), dialect_(dialect), client_(client), progress_(progress) {}

ReplyUse ServerCall::TakeHead(const HttpReply& reply, const Input& input) {
  said_ = dialect_.read_answer(reply);
  // A late answer to an earlier request on the connection; ours follows.
  if (!said_.request_id.empty() && said_.request_id != input.request_id) {
    return ReplyUse::kDiscard;
  }
  if (on_head_) {
    on_head_(said_);
  }
  streaming_ = input.route.kind == RequestKind::kStream &&
               reply.status / 100 == kSuccess && said_.is_signed &&
               said_.request_id == input.request_id;
  if (streaming_ && !progress_.begun) {
    progress_.begun = true;
    client_.Begin(reply.status, "", dialect_.answer_headers(reply));
  }
  return ReplyUse::kTake;
}

void ServerCall::TakeData(std::string_view data, const Input& input) {
  if (!streaming_) {
    return;
  }
  std::string whole;
  events_.Feed(data, [this, &whole, &input](const StreamEvent& event) {
    if (progress_.events == 0) {
      progress_.first_event =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now() - input.arrived);
    }
    ++progress_.events;
    if (!event.id.empty()) {
      progress_.last_event_id = event.id;
    }
    if (input.route.retains_context) {
      progress_.output += event.data;
      progress_.output += '\n';
    }
    whole += event.bytes;
  });
  // Half an event would not fit what another server goes on with.
  client_.Write(whole);
}

ServerCallResult ServerCall::Run(Fiber& fiber, const Input& input) {
  ServerCallResult result;
  HttpOptions options;
  const bool repeatable = input.route.Repeatable();
  options.connect_timeout = std::min(kConnectTimeout, Until(input.deadline));
  options.idle_timeout = Until(input.deadline);
  options.longest_idle = repeatable ? kLongestIdle : kLongestIdleOnce;
  options.on_sending = [this] { sending_ = true; };
  options.on_head = [this, &input](const HttpReply& reply) {
    return TakeHead(reply, input);
  };
  if (input.route.kind == RequestKind::kStream) {
    options.on_data = [this, &input](std::string_view data) {
      TakeData(data, input);
    };
  }
  options.cancelled = [this, &input] {
    return client_.PeerGone() ||
           std::chrono::steady_clock::now() >= input.deadline;
  };
  try {
    auto reply = http_.Send(fiber, input.place.address, input.request, options);
    Judge(std::move(reply), input, result);
  } catch (const HttpFailure& e) {
    result.failure = e.what();
    result.verdict = sending_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
    const bool ours =
        client_.broken() || std::chrono::steady_clock::now() >= input.deadline;
    result.exchange =
        ours ? ExchangeResult::kAbandoned : ExchangeResult::kFailed;
  }
  result.said = said_;
  return result;
}

void ServerCall::Judge(HttpReply reply,
                       const Input& input,
                       ServerCallResult& result) {
  if (said_.not_run) {
    result.exchange = ExchangeResult::kRefused;
    result.failure =
        "server answered " + std::to_string(reply.status) + ", not run";
    return;
  }
  result.verdict = Verdict::kMayHaveRun;
  if (said_.request_id != input.request_id || !said_.is_signed) {
    result.exchange = ExchangeResult::kFailed;
    result.failure = "answer without the request's id or a signature";
    return;
  }
  result.verdict = Verdict::kRan;
  result.exchange = ExchangeResult::kAnswered;
  progress_.rest = events_.rest();
  result.answer = std::move(reply);
}

}  // namespace comfreyfold
