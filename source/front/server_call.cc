#include "front/server_call.h"

#include <algorithm>
#include <utility>

#include "core/event_check.h"

namespace comfreyfold {

namespace {

constexpr int kSuccessClass = 2;  // First digit of a 2xx status.
// A TCP handshake takes one or two milliseconds, or a second more when a packet
// is lost. Nothing has been sent by then, so another server can safely be tried
// sooner.
constexpr std::chrono::milliseconds kConnectTimeout{350};
// A server may drop an idle connection before the client sees it closed, and
// whatever is written to such a connection is lost. Requests that must not be
// repeated therefore use only connections that were idle briefly.
constexpr std::chrono::milliseconds kMaxIdleUnrepeatable{1500};
constexpr std::chrono::milliseconds kMaxIdleRepeatable{8000};
// A server that has not got on with an answer for this time when the client
// leaves or its time is over may be at fault. Clients wait longer for an event.
constexpr std::chrono::milliseconds kStallTime{600};
// Answers are held until they are complete, the output of a turn until it is
// stored, and single events until their end arrives. A faulty server may send
// bytes without end.
constexpr std::uint64_t kMaxAnswerBytes = 4ULL * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = 256UL * 1024;
// A stream is longer, but passes on what it receives.
constexpr std::uint64_t kMaxStreamBytes = 64ULL * 1024 * 1024;

// Returns at least 1 ms, so that a passed deadline still gives a valid timeout.
std::chrono::milliseconds TimeoutUntil(TimePoint deadline) {
  return std::max(std::chrono::milliseconds(1),
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      deadline - std::chrono::steady_clock::now()));
}

// Handles a reply that names no request, on a connection that has carried
// others. Servers echo the id, so this is probably a copy of an earlier reply:
// a refusal of that kind does not say that this request has not run. One that
// may run again is better tried elsewhere; for any other only the reply that
// may follow tells the outcome.
ReplyAction HandleUnnamed(bool repeatable) {
  if (repeatable) {
    throw HttpFailure("a reply on a used connection names no request", true);
  }
  return ReplyAction::kDiscard;
}

bool IsOfOtherKind(const HttpReply& reply) {
  const auto type = reply.Header("Content-Type");
  return !type.empty() && type.rfind("text/event-stream", 0) != 0;
}

}  // namespace

ServerCall::ServerCall(HttpClient& http,
                       const RequestCodec& codec,
                       HttpExchange& client,
                       StreamProgress& progress)
    : http_(http), codec_(codec), client_(client), progress_(progress) {}

void ServerCall::CheckLeaving(const ServerAnswer& metadata) const {
  if (metadata.leaving && on_leaving_) {
    on_leaving_();
  }
}

ReplyAction ServerCall::HandleHead(const HttpReply& reply, const Input& input) {
  metadata_ = codec_.decode_answer(reply);
  CheckLeaving(metadata_);
  framing_ = reply.framing;
  // This is a late answer to an earlier request on the same connection. The
  // answer to this request follows.
  if (!metadata_.request_id.empty() &&
      metadata_.request_id != input.request_id) {
    return ReplyAction::kDiscard;
  }
  if (on_head_) {
    on_head_(metadata_);
  }
  streaming_ = input.route.kind == RequestKind::kStream &&
               reply.status / 100 == kSuccessClass && metadata_.is_signed &&
               metadata_.request_id == input.request_id;
  if (progress_.head_sent && IsOfOtherKind(reply)) {
    streaming_ = false;
  }
  if (streaming_ && !progress_.head_sent) {
    progress_.head_sent = true;
    client_.Begin(reply.status, "", codec_.client_answer_headers(reply));
  }
  // The body of any other answer to a stream that has begun, of a refusal and
  // of an answer that does not prove whose it is is never passed on.
  const bool passed_on =
      streaming_ ||
      (!progress_.head_sent && !metadata_.not_run && metadata_.is_signed &&
       metadata_.request_id == input.request_id);
  return passed_on ? ReplyAction::kAccept : ReplyAction::kHeadOnly;
}

void ServerCall::KeepOutput(const std::string& data, const Input& input) {
  if (progress_.output.size() + data.size() >= kMaxAnswerBytes) {
    excess_ = "more output than a turn may have";
  } else if (!input.memory.Grow(data.size() + 1)) {
    excess_ = "more output than this daemon has memory for";
  } else {
    progress_.output += data;
    progress_.output += '\n';
  }
}

// The registration may be old: a server can start anew under its id, with
// another version of its software. `process` is what IdentifyProcess()
// returned.
bool ServerCall::IsRegisteredProcess(const std::string& process,
                                     const Input& input) {
  const auto registered = input.slot.server_started;
  return process.empty() || registered.count() == 0 ||
         process == std::to_string(registered.count());
}

std::string ServerCall::IdentifyProcess(const HttpReply& state) const {
  const auto started = codec_.decode_process_start(state);
  return started ? std::to_string(started->count()) : std::string();
}

void ServerCall::AwaitRecord(Fiber& fiber, const Input& input) {
  if (recorded_ || !input.await_record) {
    return;
  }
  recorded_ = input.await_record(fiber);
  if (!recorded_) {
    withheld_ = true;
    throw HttpFailure("the stream's version is not on enough disks", true);
  }
}

void ServerCall::HandleData(Fiber& fiber,
                            std::string_view data,
                            const Input& input) {
  if (!streaming_) {
    return;
  }
  AwaitRecord(fiber, input);
  std::string complete_events;
  events_.Feed(
      data, [this, &complete_events, &input](const StreamEvent& event) {
        if (!excess_.empty()) {
          return;
        }
        if (!IsEvent(event.bytes)) {
          excess_ = "bytes that are no event";
          return;
        }
        if (IsOutOfOrder(event.id, progress_.last_event_id)) {
          excess_ = "an event that the client has";
          return;
        }
        if (input.max_events > 0 && progress_.events >= input.max_events) {
          excess_ = "more events than the request's tokens allow";
          return;
        }
        if (progress_.events == 0) {
          progress_.time_to_first_event =
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::steady_clock::now() - input.arrived);
        }
        ++progress_.events;
        progress_at_ = std::chrono::steady_clock::now();
        if (!event.id.empty()) {
          progress_.last_event_id = event.id;
        }
        if (input.route.retains_context) {
          KeepOutput(event.data, input);
        }
        complete_events += event.bytes;
      });
  // Only complete events are forwarded: a server that resumes the stream starts
  // at an event boundary.
  client_.Write(complete_events);
  if (events_.rest().size() > kMaxEventBytes) {
    excess_ = "an event without end";
  }
  if (!excess_.empty()) {
    throw HttpFailure("the server sent " + excess_, true);
  }
}

// An answer without a length or chunks ends with its connection, also when its
// server fails.
bool ServerCall::IsCutShort() const {
  return events_.InsideEvent() ||
         (framing_ == BodyFraming::kConnectionEnd && progress_.events == 0);
}

ServerCallResult ServerCall::Run(Fiber& fiber, const Input& input) {
  ServerCallResult result;
  HttpOptions options;
  const bool repeatable = input.route.Repeatable();
  const auto events_before = progress_.events;
  options.connect_timeout =
      std::min(kConnectTimeout, TimeoutUntil(input.deadline));
  options.idle_timeout = TimeoutUntil(input.deadline);
  // Without an id, nothing tells the reply to this request from an earlier one.
  options.fresh_connection = input.repeated || input.request_id.empty();
  options.body = &input.body;
  options.max_body_bytes = input.route.kind == RequestKind::kStream
                               ? kMaxStreamBytes
                               : kMaxAnswerBytes;
  options.max_idle_time =
      repeatable ? kMaxIdleRepeatable : kMaxIdleUnrepeatable;
  bool reused = false;
  options.on_sending = [this, &input, &reused,
                        opened = http_.connections_opened()] {
    may_have_sent_ = true;
    // A kept connection is taken without a wait, in which others could open
    // theirs.
    reused = input.checks_process || http_.connections_opened() == opened;
    progress_at_ = std::chrono::steady_clock::now();
  };
  options.on_head = [this, &input, &reused,
                     repeatable](const HttpReply& reply) {
    return reused && codec_.decode_answer(reply).request_id.empty()
               ? HandleUnnamed(repeatable)
               : HandleHead(reply, input);
  };
  options.on_collect = [this, &input](std::size_t n) {
    collected_bytes_ += n;
    return collected_bytes_ <= kMaxAnswerBytes && input.memory.Grow(n);
  };
  options.on_interim = [this](const HttpReply& reply) {
    CheckLeaving(codec_.decode_answer(reply));
  };
  if (input.route.kind == RequestKind::kStream) {
    options.on_data = [this, &fiber, &input](std::string_view data) {
      HandleData(fiber, data, input);
    };
  }
  if (input.checks_process) {
    options.peer_check = &codec_.state_request;
    options.identify_peer = [this](const HttpReply& state) {
      return IdentifyProcess(state);
    };
    options.accept_peer = [&input](const std::string& process) {
      return IsRegisteredProcess(process, input);
    };
  }
  options.cancelled = [this, &input] {
    const auto now = std::chrono::steady_clock::now();
    return client_.PeerGone() || now >= input.deadline || now >= input.stop_at;
  };
  try {
    auto reply = http_.Send(fiber, input.slot.address, input.request, options);
    // The events of earlier attempts do not make this answer complete.
    const bool is_empty = framing_ == BodyFraming::kConnectionEnd &&
                          progress_.events == events_before;
    if (streaming_ && (is_empty || IsCutShort())) {
      throw HttpFailure("the stream ended before an event was complete", true);
    }
    ClassifyReply(std::move(reply), input, result);
  } catch (const HttpFailure& e) {
    result.failure = e.what();
    // Says nothing about the registered server.
    const bool is_not_accepted =
        dynamic_cast<const PeerNotAccepted*>(&e) != nullptr;
    result.verdict = may_have_sent_ ? Verdict::kMayHaveRun : Verdict::kNotRun;
    const auto now = std::chrono::steady_clock::now();
    if (withheld_ || is_not_accepted) {
      result.exchange = ExchangeResult::kAbandoned;
    } else if (!client_.broken() && now < input.deadline &&
               now < input.stop_at) {
      result.exchange = ExchangeResult::kFailed;
    } else if (may_have_sent_ && now - progress_at_ > kStallTime) {
      result.exchange = ExchangeResult::kStalled;
    }
  }
  result.metadata = metadata_;
  result.framing = framing_;
  result.unfinished_event_bytes =
      static_cast<std::int64_t>(events_.rest().size());
  return result;
}

void ServerCall::ClassifyReply(HttpReply reply,
                               const Input& input,
                               ServerCallResult& result) {
  if (metadata_.not_run) {
    result.exchange = ExchangeResult::kRefused;
    result.failure = "server answered " + std::to_string(reply.status) +
                     " and did not run the request";
    return;
  }
  result.verdict = Verdict::kMayHaveRun;
  if (metadata_.request_id != input.request_id || !metadata_.is_signed) {
    result.exchange = ExchangeResult::kFailed;
    result.failure = "answer lacks the request id or a signature";
    return;
  }
  if (progress_.head_sent && !streaming_) {
    result.exchange = ExchangeResult::kFailed;
    result.failure = "server answered " + std::to_string(reply.status) +
                     " instead of continuing the stream";
    return;
  }
  result.verdict = Verdict::kRan;
  result.exchange = ExchangeResult::kAnswered;
  progress_.trailing_bytes = events_.rest();
  result.answer = std::move(reply);
}

}  // namespace comfreyfold
