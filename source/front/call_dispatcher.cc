#include "front/call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kTimedOut = 504;
constexpr int kServerErrorClass = 5;  // First digit of a 5xx status.
// Longest wait for a place, as a share of the request's remaining time.
constexpr int kMaxWaitPercent = 40;
// Longest wait for the first turn of a program, as a share of the route's
// target latency. A program that is refused this early loses little by
// retrying.
constexpr int kMaxStartWaitPercent = 25;
// Refused programs retry after a few turn lengths, by which time running
// programs have freed places.
constexpr std::chrono::milliseconds kMinStartRetryAfter{400};
constexpr std::chrono::milliseconds kStartRetrySpread{400};
// Attempts that servers may refuse before the request fails. A refused attempt
// runs nothing, but costs a round trip.
constexpr int kMaxRefusals = 4;
// Reserved at the end of the request's time for the answer to reach the client.
constexpr std::chrono::milliseconds kAnswerMargin{10};
constexpr std::chrono::milliseconds kNoServerRetryAfter{200};
constexpr std::chrono::milliseconds kMinRetryAfter{50};

}  // namespace

CallDispatcher::CallDispatcher(HttpClient& http,
                               ServerAdmission& admission,
                               DecisionLog& log,
                               const RequestCodec& codec,
                               const ProgramSlack& slack)
    : http_(http),
      admission_(admission),
      log_(log),
      codec_(codec),
      slack_(slack),
      random_(std::random_device{}()) {}

std::optional<CallError> CallDispatcher::AcquirePlace(Fiber& fiber,
                                                      Call& call,
                                                      PlaceResult& placement) {
  SlotRequest ask;
  ask.priority = call.route->priority;
  ask.stage = call.stage;
  ask.arrived = call.arrived;
  // After a longer wait the request could hardly finish in time. An immediate
  // refusal lets the client retry or give up.
  ask.acquire_by = std::chrono::steady_clock::now() +
                   TimeLeft(call.deadline) * kMaxWaitPercent / 100;
  const bool not_started = call.stage != ProgramStage::kStarted;
  if (not_started && call.route->target_latency.count() > 0) {
    ask.acquire_by =
        std::min(ask.acquire_by, call.arrived + call.route->target_latency *
                                                    kMaxStartWaitPercent / 100);
  }
  if (call.route->kind == RequestKind::kStream && call.params.finish_in) {
    const auto slack = slack_.Remaining(call.params.program);
    ask.must_start_by = call.arrived + slack;
    ask.late = slack.count() < 0;
    call.late = ask.late;
  }
  ask.prompt = call.params.prompt;
  // The program identifies the session because sub-agents start with the
  // prompt of the program that started them.
  ask.session = call.params.program;
  ask.cached_at = call.cached_server_id;
  ask.excluded = call.tried_server_ids;
  placement = admission_.Acquire(fiber, call.service, std::move(ask),
                                 [&call] { return call.client.PeerGone(); });
  call.queue_time += placement.queue_time;
  call.load_level = placement.load_level;
  if (placement.place) {
    return std::nullopt;
  }
  auto retry = std::max(kMinRetryAfter, placement.expected_wait);
  if (not_started) {
    // Random spread keeps refused programs from all retrying at once.
    retry = std::max(retry, kMinStartRetryAfter) +
            std::chrono::milliseconds(random_() % kStartRetrySpread.count());
  }
  if (placement.reason == PlaceFailure::kNoServers) {
    return NotRunError(kUnavailable, "no_server",
                       "no server of the service is available; retry",
                       kNoServerRetryAfter);
  }
  return NotRunError(kUnavailable, "no_place",
                     "no server will have a free place in time; retry later",
                     retry);
}

ServerCallResult CallDispatcher::Send(Fiber& fiber,
                                      Call& call,
                                      const PlaceResult& placement) {
  const auto& place = *placement.place;
  call.last_server_id = place.server_id;
  ServerRequestParams server_params;
  server_params.server_id = place.server_id;
  server_params.time_left =
      std::max(std::chrono::milliseconds(1), TimeLeft(call.deadline));
  server_params.body = call.body;
  if (call.progress.head_sent) {
    server_params.last_event_id = call.progress.last_event_id;
  }
  const auto request =
      codec_.encode_server_request(call.request, server_params);
  const auto start = std::chrono::steady_clock::now();
  ServerCall server_call(http_, codec_, call.client, call.progress);
  server_call.OnHead(
      [this, &call, &place, start](const ServerAnswer& metadata) {
        if (!metadata.not_run) {
          admission_.RecordAnswerHead(
              call.service, place, metadata.load,
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::steady_clock::now() - start));
        }
      });
  auto result =
      server_call.Run(fiber, {*call.route, call.params.request_id, request,
                              place, call.arrived, call.deadline});
  admission_.Release(call.service, place, result.exchange, result.metadata.load,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now() - start));
  log_.Write("server_call", call.params.request_id,
             {{"server", place.server_id},
              {"address", place.address},
              {"uncached_tokens", place.uncached_tokens},
              {"far", place.in_other_data_centre ? 1 : 0},
              {"waited_ms", placement.queue_time},
              {"slack_ms", slack_.Remaining(call.params.program)},
              {"stage", ToString(call.stage)},
              {"cached_at", call.cached_server_id},
              {"verdict", ToString(result.verdict)},
              {"status", result.metadata.status},
              {"events", call.progress.events},
              {"failure", result.failure}});
  return result;
}

bool CallDispatcher::MayRetry(const Call& call,
                              const ServerCallResult& result) const {
  if (call.client.broken() || TimeLeft(call.deadline) <= kAnswerMargin) {
    return false;
  }
  if (result.verdict == Verdict::kNotRun) {
    return call.refusals < kMaxRefusals;
  }
  return call.route->Repeatable() &&
         call.possible_runs < call.route->max_attempts;
}

CallDispatcher::Outcome CallDispatcher::Dispatch(Fiber& fiber, Call& call) {
  for (;;) {
    PlaceResult placement;
    if (auto error = AcquirePlace(fiber, call, placement)) {
      if (call.possible_runs > 0) {
        error = CallError(kBadGateway, "server_failed",
                          "the server failed and no other server was free",
                          Verdict::kMayHaveRun);
      }
      return {{}, std::move(error)};
    }
    auto result = Send(fiber, call, placement);
    const bool not_run = result.verdict == Verdict::kNotRun;
    ++(not_run ? call.refusals : call.possible_runs);
    call.tried_server_ids.insert(call.last_server_id);
    const bool server_error =
        result.answer && result.answer->status / 100 == kServerErrorClass;
    if (result.answer && !(server_error && MayRetry(call, result))) {
      return {std::move(result.answer), {}};
    }
    if (MayRetry(call, result)) {
      continue;
    }
    if (call.possible_runs == 0) {
      return {
          {},
          NotRunError(kUnavailable, "servers_refused",
                      "no server that was tried accepted the request; retry",
                      std::max(kMinRetryAfter, placement.expected_wait))};
    }
    const bool late = TimeLeft(call.deadline) <= std::chrono::milliseconds(0);
    return {
        {},
        CallError(late ? kTimedOut : kBadGateway,
                  late ? "timed_out" : "server_failed",
                  late ? "no complete answer within the request's time limit"
                       : "the server failed: " + result.failure,
                  Verdict::kMayHaveRun)};
  }
}

}  // namespace comfreyfold
