#include "front/call_handler.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "core/wall_clock.h"
#include "net/error_reply.h"

namespace comfreyfold {

namespace {

constexpr int kBadRequest = 400;
constexpr int kBudgetSpent = 402;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Applies when neither the client nor the route sets a time limit.
constexpr std::chrono::milliseconds kDefaultTimeout{60000};
constexpr std::chrono::milliseconds kLoadChainTimeout{1200};
constexpr std::chrono::milliseconds kReserveTimeout{1200};
constexpr std::chrono::milliseconds kNoConfigRetryAfter{200};
constexpr std::chrono::milliseconds kStorageRetryAfter{150};
constexpr double kMinRetrySpread = 0.5;
// Another daemon can take the request at once.
constexpr std::chrono::milliseconds kStoppingRetryAfter{50};
// Kept free at the end of a planned stop for the answers to calls that are cut.
constexpr std::chrono::milliseconds kStopAnswerTime{250};
// About the duration of a turn, which frees its memory.
constexpr std::chrono::milliseconds kNoMemoryRetryAfter{250};
// About the duration of a turn.
constexpr std::chrono::milliseconds kBudgetHeldRetryAfter{250};
constexpr std::chrono::milliseconds kMinStoreTurnTimeout{50};
constexpr std::size_t kMaxLoggedId = 200;

const char* ToString(StorageClient::ReserveOutcome outcome) {
  switch (outcome) {
    case StorageClient::ReserveOutcome::kGranted:
      return "granted";
    case StorageClient::ReserveOutcome::kSpent:
      return "budget spent";
    case StorageClient::ReserveOutcome::kHeld:
      return "held by others";
    case StorageClient::ReserveOutcome::kUnknown:
      return "too few replicas answered";
  }
  return "";
}

// Formats a Retry-After value in fractional seconds, which clients of this
// interface accept.
std::string RetryAfterText(std::chrono::milliseconds time) {
  char buf[32];
  std::snprintf(buf, sizeof buf, "%.3f",
                std::chrono::duration<double>(time).count());
  return buf;
}

}  // namespace

CallHandler::CallHandler(HttpClient& http,
                         FleetView& view,
                         ServerAdmission& admission,
                         CrashGuard& crash_guard,
                         StorageClient& storage,
                         DecisionLog& log,
                         Metrics& metrics,
                         std::shared_ptr<MemoryBudget> bodies,
                         std::shared_ptr<MemoryBudget> answers,
                         RequestCodec codec)
    : view_(view),
      crash_guard_(crash_guard),
      storage_(storage),
      log_(log),
      metrics_(metrics),
      bodies_(std::move(bodies)),
      answers_(std::move(answers)),
      codec_(std::move(codec)),
      version_guard_(view, storage, admission, log),
      dispatcher_(http,
                  admission,
                  log,
                  codec_,
                  slack_,
                  crash_guard,
                  version_guard_),
      random_(std::random_device{}()) {}

void CallHandler::StopAt(TimePoint time) {
  stop_at_ = time - kStopAnswerTime;
  stopping_ = true;
  dispatcher_.StopAt(stop_at_);
}

void CallHandler::Handle(Fiber& fiber,
                         const HttpRequest& request,
                         HttpExchange& client) {
  Call call(request, client, bodies_, answers_);
  auto error = Prepare(fiber, call);
  if (!error) {
    auto outcome = dispatcher_.Dispatch(fiber, call);
    error = std::move(outcome.error);
    if (outcome.answer) {
      Finish(fiber, call, *outcome.answer);
    }
  }
  if (call.reserved_tokens) {
    storage_.Settle(SettledUse(call));
  }
  if (call.params.finish_in && call.progress.events > 0) {
    slack_.OnTurnEnd(call.params.program,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::steady_clock::now() - call.arrived),
                     call.progress.time_to_first_event, call.progress.events);
    slack_.Expire(call.arrived);
  }
  if (error) {
    FinishWithError(call, *error);
  }
}

std::optional<CallError> CallHandler::Prepare(Fiber& fiber, Call& call) {
  try {
    call.params = codec_.decode_call(call.request);
  } catch (const std::runtime_error& e) {
    return NotRunError(kBadRequest, "bad_header", e.what());
  }
  call.fingerprint = FingerprintOf(call.request, call.params.host);
  call.config = view_.config();
  if (!call.config) {
    return NotRunError(kUnavailable, "no_config",
                       "this daemon has no configuration yet; retry",
                       kNoConfigRetryAfter);
  }
  call.route = call.config->Find(call.params.host, call.request.Path());
  if (call.route == nullptr) {
    return NotRunError(kNotFound, "no_route",
                       "no route for this host and path; check the address");
  }
  // The client has the events up to this one.
  if (call.route->Repeatable()) {
    call.progress.last_event_id = call.params.last_event_id;
  }
  const auto quarantine_left = crash_guard_.QuarantineLeft(call.fingerprint);
  if (quarantine_left.count() > 0) {
    return QuarantinedError(quarantine_left);
  }
  auto time = call.params.time_left.value_or(kDefaultTimeout);
  if (call.route->timeout.count() > 0) {
    time = std::min(time, call.route->timeout);
  }
  call.deadline = call.arrived + time;
  if (stopping_ && call.deadline > stop_at_) {
    return NotRunError(kUnavailable, "stopping",
                       "this daemon stops before the request's time is over; "
                       "use another daemon",
                       kStoppingRetryAfter);
  }
  if (call.params.finish_in && call.route->kind == RequestKind::kStream) {
    slack_.OnTurnStart(call.params.program, *call.params.finish_in,
                       call.arrived);
  }
  call.service = call.route->Choose(random_());
  if (auto error = CheckAnswerMemory(call)) {
    return error;
  }
  if (auto error = CheckRoom(call)) {
    return error;
  }
  if (auto error = CheckStorageLoad(call)) {
    return error;
  }
  if (call.route->retains_context) {
    if (auto error = LoadContext(fiber, call)) {
      return error;
    }
  }
  if (ReservesTokens(call)) {
    if (auto error = ReserveTokens(fiber, call)) {
      return error;
    }
  } else if (ContinuesKnownAttempt(call)) {
    if (auto error = version_guard_.FindAndResume(fiber, call)) {
      return error;
    }
  }
  // The replies of the disks may have told that they are full.
  return CheckRoom(call);
}

// Answers that have begun need more memory as they go on, and are cut if there
// is none. Streams that keep no context are passed on and not held.
std::optional<CallError> CallHandler::CheckAnswerMemory(
    const Call& call) const {
  const bool held =
      call.route->kind != RequestKind::kStream || call.route->retains_context;
  if (!held || !answers_->half_used()) {
    return std::nullopt;
  }
  return NotRunError(kUnavailable, "no_memory",
                     "this daemon has no memory for a further answer now; "
                     "retry, or use another daemon",
                     kNoMemoryRetryAfter);
}

// Only turns that have not run can be refused, so that this is asked before
// they are sent to a server.
std::optional<CallError> CallHandler::CheckRoom(const Call& call) const {
  if (!call.route->retains_context) {
    return std::nullopt;
  }
  const auto room_in =
      storage_.RoomForTurnIn(call.params.previous_turn.empty());
  if (room_in.count() == 0) {
    return std::nullopt;
  }
  return NotRunError(kUnavailable, "storage_full",
                     "the disks have no room for further turns; retry when "
                     "earlier ones have expired",
                     room_in);
}

bool CallHandler::ReservesTokens(const Call& call) {
  return call.params.token_budget && call.route->kind == RequestKind::kStream;
}

// A request that waited for overloaded disks in vain would have cost them as
// much as one that they answered, and its client would return as soon.
std::optional<CallError> CallHandler::CheckStorageLoad(const Call& call) {
  if (!ReservesTokens(call) && call.params.previous_turn.empty()) {
    return std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  const auto importance = call.params.previous_turn.empty()
                              ? AdaptiveThrottle::Importance::kNewWork
                              : AdaptiveThrottle::Importance::kStartedWork;
  std::uniform_real_distribution<double> uniform(0, 1);
  if (storage_throttle_.Admit(importance, uniform(random_), now)) {
    return std::nullopt;
  }
  // Clients that were refused together do not return together.
  const auto spread = kMinRetrySpread + uniform(random_);
  return NotRunError(kUnavailable, "storage_overloaded",
                     "the storage daemons are overloaded; retry later",
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         storage_throttle_.RetryAfter(now) * spread));
}

// Disks that refused connections are dead or cut off, not overloaded.
void CallHandler::ObserveStorage(bool answered,
                                 TimePoint start,
                                 std::chrono::milliseconds timeout) {
  const auto now = std::chrono::steady_clock::now();
  if (answered) {
    storage_throttle_.OnAnswered(now);
  } else if (now - start >= timeout) {
    storage_throttle_.OnTimeout(now);
  }
}

std::optional<CallError> CallHandler::LoadContext(Fiber& fiber, Call& call) {
  if (call.params.previous_turn.empty()) {
    return std::nullopt;
  }
  const auto start = std::chrono::steady_clock::now();
  auto chain =
      storage_.LoadChain(fiber, call.params.previous_turn,
                         std::min(kLoadChainTimeout, TimeLeft(call.deadline)));
  // A reservation that follows tells more.
  if (chain.found == Tristate::kUnknown || !ReservesTokens(call)) {
    ObserveStorage(chain.found != Tristate::kUnknown, start, kLoadChainTimeout);
  }
  if (chain.found == Tristate::kNo) {
    return NotRunError(
        kNotFound, "no_such_turn",
        "the previous turn does not exist or has expired; start a "
        "new chain");
  }
  if (chain.found == Tristate::kUnknown) {
    return NotRunError(kUnavailable, "chain_unknown",
                       "the previous turn cannot be read now; retry",
                       kStorageRetryAfter);
  }
  const auto bytes = chain.bytes.size() + call.request.body.size();
  if (!call.body_memory.Grow(bytes)) {
    return NotRunError(kUnavailable, "no_memory",
                       "this daemon has no memory for the earlier turns now; "
                       "retry, or use another daemon",
                       kNoMemoryRetryAfter);
  }
  chain.bytes += call.request.body;
  call.body = std::move(chain.bytes);
  call.chain_turn_ids = std::move(chain.turns);
  return std::nullopt;
}

std::int64_t CallHandler::TokensPerEvent(const Call& call) {
  const auto it = call.config->services.find(call.service);
  return it != call.config->services.end() && it->second.engine
             ? std::max(1, it->second.engine->tokens_per_event)
             : 1;
}

std::optional<CallError> CallHandler::ReserveTokens(Fiber& fiber, Call& call) {
  const auto event_tokens = TokensPerEvent(call);
  TokenUse use;
  use.program = call.params.program;
  use.request = call.params.request_id;
  // Settlement counts tokens in whole events, so the reservation is rounded up
  // to a multiple of the tokens per event.
  use.tokens = (call.params.max_output_tokens + event_tokens - 1) /
               event_tokens * event_tokens;
  use.expires_at = WallNow() + call.route->retention + kRetentionMargin;
  version_guard_.Plan(call, use);
  using Outcome = StorageClient::ReserveOutcome;
  const auto start = std::chrono::steady_clock::now();
  const auto reservation =
      storage_.Reserve(fiber, use, *call.params.token_budget,
                       std::min(kReserveTimeout, TimeLeft(call.deadline)),
                       call.params.resumed_request);
  ObserveStorage(reservation.outcome != Outcome::kUnknown, start,
                 kReserveTimeout);
  call.cached_server_id = reservation.last_server;
  if (call.params.previous_turn.empty() && reservation.used == 0) {
    call.stage =
        reservation.is_first ? ProgramStage::kNew : ProgramStage::kReturning;
    if (!reservation.is_first && call.params.finish_in) {
      slack_.OnRejections(call.params.program, *call.params.finish_in,
                          reservation.program_age);
    }
  }
  if (reservation.outcome == Outcome::kGranted) {
    call.reserved_tokens = use;
    call.version_record = use;
    call.max_events = use.tokens / event_tokens;
    return ContinuesKnownAttempt(call)
               ? version_guard_.Resume(call, reservation.resumed_use)
               : std::nullopt;
  }
  log_.Write("tokens_refused", call.params.request_id,
             {{"program", call.params.program},
              {"budget", *call.params.token_budget},
              {"used", reservation.used},
              {"asked", use.tokens},
              {"rounds", reservation.rounds},
              {"outcome", ToString(reservation.outcome)}});
  switch (reservation.outcome) {
    case Outcome::kSpent:
      return NotRunError(kBudgetSpent, "budget_spent",
                         "the program's remaining token budget is too small "
                         "for one more turn");
    case Outcome::kHeld:
      return NotRunError(
          kUnavailable, "budget_held",
          "the rest of the program's token budget is reserved by "
          "its running turns; retry when one has ended",
          kBudgetHeldRetryAfter);
    default:
      if (auto error = CheckRoom(call)) {
        return error;
      }
      return NotRunError(kUnavailable, "budget_unknown",
                         "the program's token budget cannot be read now; retry",
                         kStorageRetryAfter);
  }
}

TokenUse CallHandler::SettledUse(const Call& call) const {
  auto use = *call.reserved_tokens;
  use.version = call.version_record.version;
  use.version_choice = call.version_record.version_choice;
  const auto event_tokens = TokensPerEvent(call);
  use.tokens = call.progress.events * event_tokens;
  use.settled = true;
  if (call.progress.events > 0) {
    use.server = call.last_server_id;
  }
  return use;
}

bool CallHandler::PersistTurn(Fiber& fiber, Call& call) {
  call.body.reset();
  TurnRecord turn;
  turn.id = call.params.request_id;
  turn.parent = call.params.previous_turn;
  turn.input = call.request.body;
  turn.output = std::move(call.progress.output);
  turn.expires_at = WallNow() + call.route->retention + kRetentionMargin;
  const auto start = std::chrono::steady_clock::now();
  const auto stored = storage_.StoreTurn(
      fiber, std::move(turn),
      call.reserved_tokens ? SettledUse(call) : TokenUse{}, call.chain_turn_ids,
      // The answer is ready, and neither another daemon nor another attempt can
      // save it: only the end of the request's time ends the wait.
      std::max(TimeLeft(std::min(call.deadline, stop_at_)),
               kMinStoreTurnTimeout),
      [this, &call] {
        return call.client.PeerGone() ||
               std::chrono::steady_clock::now() >= stop_at_;
      });
  const auto store_time = std::chrono::steady_clock::now() - start;
  metrics_.ObserveTurnStore(stored.durable, store_time);
  call.store_time =
      std::chrono::duration_cast<std::chrono::milliseconds>(store_time);
  call.store_tries = stored.tries;
  call.store_answers = stored.answers;
  call.store_refusal = stored.refusal;
  if (stored.settled) {
    call.reserved_tokens.reset();
  }
  return stored.durable;
}

void CallHandler::Finish(Fiber& fiber, Call& call, const HttpReply& answer) {
  if (!call.progress.head_sent) {
    call.client.Reply(answer.status, "", answer.body,
                      codec_.client_answer_headers(answer));
    LogOutcome(call, call.client.broken() ? "client_left" : "answered", "",
               answer.status);
    return;
  }
  // The end of the stream tells the client that the turn can be continued, so
  // it is sent only after the turn has been stored.
  if (call.route->retains_context && !PersistTurn(fiber, call)) {
    const bool client_left = call.client.PeerGone();
    call.client.Abort();
    LogOutcome(call, client_left ? "client_left" : "broken_off",
               "turn not stored on enough disks", answer.status);
    return;
  }
  call.client.Write(call.progress.trailing_bytes);
  call.client.End();
  LogOutcome(call, call.client.broken() ? "client_left" : "answered", "",
             answer.status);
}

void CallHandler::FinishWithError(Call& call, const CallError& error) {
  if (call.client.PeerGone()) {
    LogOutcome(call, "client_left", error.what(), 0);
    return;
  }
  if (call.client.begun()) {
    // Aborting without the end of the stream keeps the client from taking the
    // partial answer for a complete one.
    call.client.Abort();
    LogOutcome(call, "broken_off", error.what(), error.status());
    return;
  }
  std::vector<HttpHeader> headers{{"Request-Id", call.params.request_id}};
  if (error.retry_after().count() > 0) {
    headers.push_back({"Retry-After", RetryAfterText(error.retry_after())});
  }
  call.client.Reply(error.status(), "application/json", ErrorBody(error),
                    headers);
  metrics_.CountRefusal(error.code(), std::string(ToString(error.verdict())));
  LogOutcome(call, "refused", error.code(), error.status());
}

void CallHandler::LogOutcome(const Call& call,
                             const char* outcome,
                             const std::string& reason,
                             int status) {
  const auto elapsed = std::chrono::steady_clock::now() - call.arrived;
  metrics_.CountCall(
      call.route == nullptr ? "none" : call.route->service_kind(), outcome,
      elapsed);
  if (call.progress.events > 0) {
    metrics_.ObserveFirstToken(call.progress.time_to_first_event);
  }
  log_.Write(
      "request", call.params.request_id,
      {{"outcome", outcome},
       {"status", status},
       {"reason", reason},
       {"route", call.route == nullptr ? "" : call.route->name},
       {"program", call.params.program},
       {"server", call.last_server_id},
       {"version", call.version.value_or("")},
       {"resumes", call.params.resumed_request.substr(0, kMaxLoggedId)},
       {"config_version", call.config ? call.config->version : 0},
       {"servers_age_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - view_.servers_read_at())},
       {"events", call.progress.events},
       {"first_event_ms", call.progress.time_to_first_event},
       {"waited_ms", call.queue_time},
       {"store_ms", call.store_time},
       {"store_tries", call.store_tries},
       {"store_answers", call.store_answers},
       {"store_refusal", call.store_refusal},
       {"stage", ToString(call.stage)},
       {"late", call.late ? 1 : 0},
       {"level_percent", static_cast<int>(call.load_level * 100)},
       {"took_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)},
       {"limit_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                        call.deadline - call.arrived)}});
}

}  // namespace comfreyfold
