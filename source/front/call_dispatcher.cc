#include "front/call_dispatcher.h"

#include <algorithm>
#include <utility>

namespace comfreyfold {

namespace {

constexpr int kUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kTimedOut = 504;
constexpr int kServerErrorClass = 5;  // First digit of a 5xx status.
// Longest wait for a slot, as a share of the request's remaining time.
constexpr int kMaxWaitPercent = 40;
// Longest wait for the first turn of a program, as a share of the route's
// target latency. A program that is refused this early loses little by
// retrying.
constexpr int kMaxStartWaitPercent = 25;
// Refused programs retry after a few turn lengths, by which time running
// programs have freed slots.
constexpr std::chrono::milliseconds kMinStartRetryAfter{400};
constexpr std::chrono::milliseconds kStartRetrySpread{400};
// Attempts that servers may refuse before the request fails. A refused attempt
// runs nothing, but costs a round trip.
constexpr int kMaxRefusals = 4;
// Reserved at the end of the request's time for the answer to reach the client.
constexpr std::chrono::milliseconds kAnswerMargin{10};
constexpr std::chrono::milliseconds kNoServerRetryAfter{200};
constexpr std::chrono::milliseconds kMinRetryAfter{50};

const char* ToString(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnectionEnd:
      return "connection_end";
  }
  return "";
}

}  // namespace

CallDispatcher::CallDispatcher(HttpClient& http,
                               ServerAdmission& admission,
                               DecisionLog& log,
                               const RequestCodec& codec,
                               const ProgramSlack& slack,
                               CrashGuard& crash_guard,
                               VersionGuard& version_guard)
    : http_(http),
      admission_(admission),
      log_(log),
      codec_(codec),
      slack_(slack),
      crash_guard_(crash_guard),
      version_guard_(version_guard),
      random_(std::random_device{}()) {}

TimePoint CallDispatcher::EndOf(const Call& call) const {
  return std::min(call.deadline, stop_at_);
}

std::optional<CallError> CallDispatcher::AcquireSlot(Fiber& fiber,
                                                     Call& call,
                                                     SlotResult& slot_result) {
  SlotRequest request;
  request.priority = call.route->priority;
  request.stage = call.stage;
  request.arrived = call.arrived;
  // After a longer wait the request could hardly finish in time. An immediate
  // refusal lets the client retry or give up.
  request.acquire_by = std::chrono::steady_clock::now() +
                       TimeLeft(EndOf(call)) * kMaxWaitPercent / 100;
  const bool not_started = call.stage != ProgramStage::kStarted;
  if (not_started && call.route->target_latency.count() > 0) {
    request.acquire_by = std::min(
        request.acquire_by,
        call.arrived + call.route->target_latency * kMaxStartWaitPercent / 100);
  }
  if (call.route->kind == RequestKind::kStream && call.params.finish_in) {
    const auto slack = slack_.Remaining(call.params.program);
    request.must_start_by = call.arrived + slack;
    request.late = slack.count() < 0;
    request.late_at_present_load =
        not_started && slack_.IsLateIfBegunNow(call.params.program);
    call.late = request.late;
  }
  request.prompt = call.params.prompt;
  // The program identifies the session because sub-agents start with the
  // prompt of the program that started them.
  request.session = call.params.program;
  request.cached_at = call.cached_server_id;
  request.excluded = call.tried_server_ids;
  request.version = call.version;
  request.preferred_version = call.version_record.version;
  slot_result = admission_.Acquire(
      fiber, call.service, std::move(request), [this, &call] {
        return call.client.PeerGone() ||
               std::chrono::steady_clock::now() >= stop_at_;
      });
  call.queue_time += slot_result.queue_time;
  call.load_level = slot_result.load_level;
  if (slot_result.slot) {
    return std::nullopt;
  }
  auto retry = std::max(kMinRetryAfter, slot_result.expected_wait);
  if (not_started) {
    // Random spread keeps refused programs from all retrying at once.
    retry = std::max(retry, kMinStartRetryAfter) +
            std::chrono::milliseconds(random_() % kStartRetrySpread.count());
  }
  if (slot_result.reason == SlotFailure::kNoServers) {
    return NotRunError(kUnavailable, "no_server",
                       "no server of the service is available; retry",
                       kNoServerRetryAfter);
  }
  if (slot_result.reason == SlotFailure::kNoVersion) {
    return version_guard_.NoServerError();
  }
  return NotRunError(kUnavailable, "no_place",
                     "no server will have a free place in time; retry later",
                     retry);
}

// Crashes may have been reported while the request waited for the slot.
std::optional<CallError> CallDispatcher::CheckQuarantine(
    const Call& call,
    const SlotResult& slot_result) {
  const auto left = crash_guard_.QuarantineLeft(call.fingerprint);
  if (left.count() == 0) {
    crash_guard_.OnSend(*slot_result.slot, call.fingerprint);
    return std::nullopt;
  }
  admission_.Release(call.service, *slot_result.slot,
                     ExchangeResult::kAbandoned, {}, {});
  return QuarantinedError(left);
}

// Only engines report their state.
bool CallDispatcher::IsEngineCall(const Call& call) {
  const auto it = call.config->services.find(call.service);
  return it != call.config->services.end() && it->second.engine.has_value();
}

ServerCallResult CallDispatcher::Send(Fiber& fiber,
                                      Call& call,
                                      const SlotResult& slot_result) {
  const auto& slot = *slot_result.slot;
  call.last_server_id = slot.server_id;
  ServerRequestParams server_params;
  server_params.server_id = slot.server_id;
  server_params.time_left =
      std::max(std::chrono::milliseconds(1), TimeLeft(call.deadline));
  if (call.progress.head_sent) {
    server_params.last_event_id = call.progress.last_event_id;
  }
  const auto request =
      codec_.encode_server_request(call.request, server_params);
  const auto start = std::chrono::steady_clock::now();
  const auto events_before = call.progress.events;
  const auto await_record = version_guard_.BeginAt(call, slot);
  ServerCall server_call(http_, codec_, call.client, call.progress);
  server_call.OnHead([this, &call, &slot, start](const ServerAnswer& metadata) {
    admission_.ObserveLimit(slot, metadata);
    if (!metadata.not_run) {
      admission_.ObserveResponseStart(
          call.service, slot, metadata.load,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now() - start));
    }
  });
  server_call.OnLeaving([this, &slot] { admission_.ObserveLeaving(slot); });
  auto result = server_call.Run(
      fiber, {*call.route, call.params.request_id, request,
              call.body ? *call.body : call.request.body, slot, call.arrived,
              call.deadline, stop_at_, call.max_events,
              !call.tried_addresses.insert(slot.address).second, await_record,
              IsEngineCall(call) && version_guard_.MustCheckProcess(call),
              call.answer_memory});
  if (call.progress.events > events_before) {
    call.version = slot.server_version;
  }
  admission_.Release(call.service, slot, result.exchange, result.metadata.load,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now() - start));
  if (result.exchange == ExchangeResult::kFailed &&
      result.verdict == Verdict::kMayHaveRun) {
    crash_guard_.OnBrokenAnswer(slot, call.fingerprint,
                                call.progress.events > events_before);
  } else if (result.exchange == ExchangeResult::kAnswered) {
    crash_guard_.OnAnswer(slot, call.fingerprint);
  }
  log_.Write("server_call", call.params.request_id,
             {{"request_hash", FingerprintText(call.fingerprint.request)},
              {"target_hash", FingerprintText(call.fingerprint.target)},
              {"server", slot.server_id},
              {"address", slot.address},
              {"version", slot.server_version},
              {"uncached_tokens", slot.uncached_tokens},
              {"far", slot.in_other_data_centre ? 1 : 0},
              {"limit_per_second", LimitText(result.metadata.limit_per_second)},
              {"waited_ms", slot_result.queue_time},
              {"slack_ms", slack_.Remaining(call.params.program)},
              {"stage", ToString(call.stage)},
              {"cached_at", call.cached_server_id},
              {"verdict", ToString(result.verdict)},
              {"status", result.metadata.status},
              {"framing", ToString(result.framing)},
              {"unfinished_event_bytes", result.unfinished_event_bytes},
              {"events", call.progress.events},
              {"failure", result.failure}});
  return result;
}

bool CallDispatcher::MayRetry(const Call& call,
                              const ServerCallResult& result) const {
  if (call.client.broken() || TimeLeft(EndOf(call)) <= kAnswerMargin) {
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
    SlotResult slot_result;
    auto error = AcquireSlot(fiber, call, slot_result);
    if (!error) {
      error = CheckQuarantine(call, slot_result);
    }
    if (error) {
      if (call.possible_runs > 0) {
        const bool is_version_gone =
            slot_result.reason == SlotFailure::kNoVersion && !slot_result.slot;
        error = CallError(
            kBadGateway, is_version_gone ? "version_gone" : "server_failed",
            is_version_gone
                ? "the server failed, and no other has its software version"
                : "the server failed and no other server was free",
            Verdict::kMayHaveRun);
      }
      return {{}, std::move(error)};
    }
    auto result = Send(fiber, call, slot_result);
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
                      std::max(kMinRetryAfter, slot_result.expected_wait))};
    }
    const bool late = TimeLeft(EndOf(call)) <= std::chrono::milliseconds(0);
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
