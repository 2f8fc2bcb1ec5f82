#include "front/call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kTimedOut = 504;
constexpr int kServerErrors = 5;  // Hundreds of the status.
// Of its time left, what a request waits for a place at most.
constexpr int kWaitPercent = 40;
// Of its route's target latency, what a program waits to begin at most. Told
// that early it loses little by coming back.
constexpr int kBeginPercent = 25;
// Some lengths of a turn, in which programs under way make room.
constexpr std::chrono::milliseconds kLeastReturn{400};
constexpr std::chrono::milliseconds kReturnSpread{400};
// Where servers refuse, another one is tried this often at most: refusals run
// nothing, but each costs a round trip.
constexpr int kMostRefusals = 4;
// Left for the answer to reach the client before its time is up.
constexpr std::chrono::milliseconds kReturnTime{10};
constexpr std::chrono::milliseconds kRetryUnready{200};
constexpr std::chrono::milliseconds kLeastRetry{50};

}  // namespace

CallDispatcher::CallDispatcher(HttpClient& http,
                               ServerGate& gate,
                               DecisionLog& log,
                               const Dialect& dialect,
                               const ProgramSlack& slack)
    : http_(http),
      gate_(gate),
      log_(log),
      dialect_(dialect),
      slack_(slack),
      draw_(std::random_device{}()) {}

std::optional<CallError> CallDispatcher::Place(Fiber& fiber,
                                               Call& call,
                                               PlaceResult& placed) {
  SlotRequest ask;
  ask.priority = call.route->priority;
  ask.stage = call.stage;
  ask.arrived = call.arrived;
  // Longer than that it would be held in vain: told at once, its client can
  // come back or give up.
  ask.acquire_by = std::chrono::steady_clock::now() +
                   Left(call.deadline) * kWaitPercent / 100;
  const bool begins = call.stage != ProgramStage::kStarted;
  if (begins && call.route->target_latency.count() > 0) {
    ask.acquire_by =
        std::min(ask.acquire_by, call.arrived + call.route->target_latency *
                                                    kBeginPercent / 100);
  }
  if (call.route->kind == RequestKind::kStream && call.info.finish_in) {
    const auto slack = slack_.Remaining(call.info.program);
    ask.must_start_by = call.arrived + slack;
    ask.late = slack.count() < 0;
    call.late = ask.late;
  }
  ask.prompt = call.info.prompt;
  // Sub-agents begin with the prompt of the program that started them.
  ask.session = call.info.program;
  ask.cached_at = call.cached_at;
  ask.excluded = call.excluded;
  placed = gate_.Enter(fiber, call.service, std::move(ask),
                       [&call] { return call.client.PeerGone(); });
  call.waited += placed.waited;
  call.level = placed.level;
  if (placed.place) {
    return std::nullopt;
  }
  auto retry = std::max(kLeastRetry, placed.expected_wait);
  if (begins) {
    // Programs that have to wait for others to end come back spread out.
    retry = std::max(retry, kLeastReturn) +
            std::chrono::milliseconds(draw_() % kReturnSpread.count());
  }
  if (placed.reason == NoPlace::kNoServers) {
    return NotRun(kUnavailable, "no_server",
                  "no server of the service can be used now; retry",
                  kRetryUnready);
  }
  return NotRun(kUnavailable, "no_place",
                "no server would be free in time; retry later", retry);
}

ServerCallResult CallDispatcher::Send(Fiber& fiber,
                                      Call& call,
                                      const PlaceResult& placed) {
  const auto& place = *placed.place;
  call.server = place.server_id;
  comfreyfold::Dispatch dispatch;
  dispatch.server_id = place.server_id;
  dispatch.time_left =
      std::max(std::chrono::milliseconds(1), Left(call.deadline));
  dispatch.body = call.body;
  if (call.progress.begun) {
    dispatch.last_event_id = call.progress.last_event_id;
  }
  const auto request = dialect_.write_dispatch(call.request, dispatch);
  const auto start = std::chrono::steady_clock::now();
  ServerCall server_call(http_, dialect_, call.client, call.progress);
  server_call.OnHead([this, &call, &place, start](const ServerAnswer& said) {
    if (!said.not_run) {
      gate_.Answered(call.service, place, said.load,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now() - start));
    }
  });
  auto result =
      server_call.Run(fiber, {*call.route, call.info.request_id, request, place,
                              call.arrived, call.deadline});
  gate_.Leave(call.service, place, result.exchange, result.said.load,
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::steady_clock::now() - start));
  log_.Write("server_call", call.info.request_id,
             {{"server", place.server_id},
              {"address", place.address},
              {"uncached_tokens", place.uncached_tokens},
              {"far", place.in_other_data_centre ? 1 : 0},
              {"waited_ms", placed.waited},
              {"slack_ms", slack_.Remaining(call.info.program)},
              {"stage", ToString(call.stage)},
              {"cached_at", call.cached_at},
              {"verdict", ToString(result.verdict)},
              {"status", result.said.status},
              {"events", call.progress.events},
              {"failure", result.failure}});
  return result;
}

bool CallDispatcher::MayRepeat(const Call& call,
                               const ServerCallResult& result) const {
  if (call.client.broken() || Left(call.deadline) <= kReturnTime) {
    return false;
  }
  if (result.verdict == Verdict::kNotRun) {
    return call.refusals < kMostRefusals;
  }
  return call.route->Repeatable() && call.runs < call.route->max_attempts;
}

CallDispatcher::Outcome CallDispatcher::Dispatch(Fiber& fiber, Call& call) {
  for (;;) {
    PlaceResult placed;
    if (auto error = Place(fiber, call, placed)) {
      if (call.runs > 0) {
        error = CallError(kBadGateway, "server_failed",
                          "the server broke off and no other was free",
                          Verdict::kMayHaveRun);
      }
      return {{}, std::move(error)};
    }
    auto result = Send(fiber, call, placed);
    const bool not_run = result.verdict == Verdict::kNotRun;
    ++(not_run ? call.refusals : call.runs);
    call.excluded.insert(call.server);
    const bool server_error =
        result.answer && result.answer->status / 100 == kServerErrors;
    if (result.answer && !(server_error && MayRepeat(call, result))) {
      return {std::move(result.answer), {}};
    }
    if (MayRepeat(call, result)) {
      continue;
    }
    if (call.runs == 0) {
      return {{},
              NotRun(kUnavailable, "servers_refused",
                     "the servers that were tried are full; retry",
                     std::max(kLeastRetry, placed.expected_wait))};
    }
    const bool late = Left(call.deadline) <= std::chrono::milliseconds(0);
    return {{},
            CallError(late ? kTimedOut : kBadGateway,
                      late ? "timed_out" : "server_failed",
                      late ? "no whole answer within the request's time"
                           : "the server broke off: " + result.failure,
                      Verdict::kMayHaveRun)};
  }
}

}  // namespace comfreyfold
