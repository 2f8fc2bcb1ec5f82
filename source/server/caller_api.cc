#include "server/caller_api.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "core/call_error.h"
#include "net/error_reply.h"
#include "net/json_parser.h"
#include "server/call_checks.h"
#include "server/call_context.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr char kJsonType[] = "application/json";

[[noreturn]] void Refuse(int status,
                         const char* code,
                         const std::string& message) {
  throw CallError(status, code, message, Verdict::kNotRun);
}

// Serializes `data`. The answers of servers are not validated, so bytes that
// are not UTF-8 are replaced by the Unicode replacement character.
std::string Dump(const json& data) {
  return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string StreamEvent(const std::string& data) {
  return "data: " + data + "\n\n";
}

// Renders the chunks of a stream, which differ only in their text. The rest of
// the chunk is serialized once.
class DeltaEvent {
 public:
  explicit DeltaEvent(json chunk) {
    chunk["choices"][0]["delta"] = {{"content", kPlaceholder}};
    const auto event = StreamEvent(Dump(chunk));
    const auto placeholder = Dump(kPlaceholder);
    // The keys are sorted, so no member before the delta can contain the
    // placeholder: "choices" is the first key of the chunk.
    const auto n = event.find(placeholder);
    before_ = event.substr(0, n);
    after_ = event.substr(n + placeholder.size());
  }

  std::string Render(const std::string& text) const {
    return before_ + Dump(text) + after_;
  }

 private:
  static constexpr char kPlaceholder[] = "\n";
  std::string before_;
  std::string after_;
};

// Returns whether the operation is one of the program's calls and not a
// request about the program.
bool IsCall(Operation operation) {
  return operation == Operation::kModel || operation == Operation::kTool ||
         operation == Operation::kService;
}

const char* NameOf(Operation operation) {
  switch (operation) {
    case Operation::kModel:
      return "model";
    case Operation::kTool:
      return "tool";
    case Operation::kService:
      return "service";
    case Operation::kEnd:
      return "end";
    case Operation::kHistory:
      return "history";
    case Operation::kAnswer:
      return "answer";
    case Operation::kSubagent:
      return "subagent";
  }
  return "unknown";
}

// Returns the name that a header gives, or `prefix` and a random id when the
// header is missing.
std::string HeaderOrRandomName(const HttpRequest& request,
                               const char* header,
                               const char* prefix) {
  const auto text = request.Header(header);
  if (text.empty()) {
    return prefix + RandomId();
  }
  CheckName(header, text);
  return text;
}

void SendError(HttpExchange& exchange, const CallError& e) {
  if (!exchange.begun()) {
    ReplyError(exchange, e);
    return;
  }
  exchange.Write(StreamEvent(ErrorBody(e)));
  exchange.End();
}

// Measures the time to the first part of a stream and the gaps between parts.
class StreamTimer {
 public:
  explicit StreamTimer(Metrics& metrics) : metrics_(metrics) {}

  void ObservePiece() {
    const auto now = std::chrono::steady_clock::now();
    if (first_) {
      metrics_.ObserveFirstToken(now - last_piece_);
    } else {
      metrics_.ObserveTokenGap(now - last_piece_);
    }
    first_ = false;
    last_piece_ = now;
  }

 private:
  Metrics& metrics_;
  bool first_ = true;
  std::chrono::steady_clock::time_point last_piece_ =
      std::chrono::steady_clock::now();
};

std::vector<std::string> SplitPath(const std::string& path) {
  std::vector<std::string> out;
  std::size_t start = 1;
  while (start <= path.size()) {
    const auto n = std::min(path.find('/', start), path.size());
    out.push_back(path.substr(start, n - start));
    start = n + 1;
  }
  return out;
}

std::int64_t ParseCallNumber(const std::string& text) {
  std::int64_t out = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc() || end != text.data() + text.size() || out < 1) {
    Refuse(400, "bad_call_number",
           "Comfreyfold-Call must be an integer of at least 1");
  }
  return out;
}

}  // namespace

const char* CallerApi::NameOf(const CallerRequest& parsed) {
  return parsed.urgent ? "urgent" : comfreyfold::NameOf(parsed.call.operation);
}

Event CallerApi::EventOf(const char* name, const CallerRequest& parsed) {
  return {.name = name,
          .customer = parsed.call.customer,
          .program = parsed.call.program,
          .key = parsed.call.key,
          .detail = NameOf(parsed)};
}

CallerApi::CallerApi(ContractStore& contracts,
                     CallRouter& router,
                     UrgentSender& urgent,
                     EventLog& log,
                     Metrics& metrics,
                     std::chrono::milliseconds deadline)
    : contracts_(contracts),
      router_(router),
      urgent_(urgent),
      log_(log),
      metrics_(metrics),
      deadline_(deadline) {}

bool CallerApi::Handle(Fiber& fiber,
                       const HttpRequest& request,
                       HttpExchange& exchange) {
  if (request.Path().rfind("/v1/", 0) != 0) {
    return false;
  }
  const auto start = std::chrono::steady_clock::now();
  CallerRequest parsed;
  std::string code = "ok";
  try {
    contracts_.EnsureCurrent(fiber);
    ParseCaller(request, parsed.call);
    ParseTarget(request, parsed);
    log_.Write(EventOf("call_received", parsed));
    Answer(fiber, parsed, exchange);
    log_.Write(EventOf("call_answered", parsed));
  } catch (const CallError& e) {
    code = e.code();
    const auto verdict = std::string(ToString(e.verdict()));
    metrics_.CountRefusal(code, verdict);
    auto event = EventOf("call_refused", parsed);
    event.detail += " " + code + " " + verdict;
    log_.Write(event);
    SendError(exchange, e);
  }
  metrics_.CountCall(NameOf(parsed), code,
                     std::chrono::steady_clock::now() - start);
  return true;
}

void CallerApi::ParseCaller(const HttpRequest& request,
                            ForwardedCall& out) const {
  constexpr std::string_view kBearer = "Bearer ";
  const auto authorization = request.Header("Authorization");
  const auto contract =
      authorization.rfind(kBearer, 0) == 0
          ? contracts_.FindByApiKey(authorization.substr(kBearer.size()))
          : nullptr;
  if (!contract) {
    Refuse(401, "bad_api_key",
           "no contract has this API key; send it as Authorization: Bearer");
  }
  out.customer = contract->customer;
  // A call that names no program is treated as a program of one call.
  out.program = HeaderOrRandomName(request, "Comfreyfold-Program", "single-");
  out.key = HeaderOrRandomName(request, "Idempotency-Key", "");
  const auto parent = request.Header("Comfreyfold-Parent");
  if (!parent.empty()) {
    CheckName("Comfreyfold-Parent", parent);
    out.parent = parent;
  }
  const auto call_number = request.Header("Comfreyfold-Call");
  if (!call_number.empty()) {
    out.call = ParseCallNumber(call_number);
  }
  out.body = request.body;
  out.deadline = deadline_;
}

void CallerApi::ParseTarget(const HttpRequest& request,
                            CallerRequest& out) const {
  const auto parts = SplitPath(request.Path());
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (post && request.Path() == "/v1/chat/completions") {
    ParseModelCall(out);
  } else if (post && parts.size() == 3 &&
             (parts[1] == "tools" || parts[1] == "services" ||
              parts[1] == "urgent")) {
    out.call.target = parts[2];
    out.call.operation =
        parts[1] == "services" ? Operation::kService : Operation::kTool;
    out.urgent = parts[1] == "urgent";
  } else if (parts.size() >= 4 && parts[1] == "programs" && (post || get)) {
    CheckName("the program in the path", parts[2]);
    out.call.program = parts[2];
    if (post && parts.size() == 4 && parts[3] == "end") {
      out.call.operation = Operation::kEnd;
    } else if (get && parts.size() == 4 && parts[3] == "history") {
      out.call.operation = Operation::kHistory;
    } else if (get && parts.size() == 5 && parts[3] == "calls") {
      CheckName("the key in the path", parts[4]);
      out.call.operation = Operation::kAnswer;
      out.call.key = parts[4];
    } else {
      Refuse(404, "no_such_path", "see the README for the paths");
    }
  } else {
    Refuse(404, "no_such_path", "see the README for the paths");
  }
  CheckCall(out.call);
}

void CallerApi::ParseModelCall(CallerRequest& out) {
  out.call.operation = Operation::kModel;
  const auto body = ParseJson(out.call.body);
  if (body.is_object()) {
    // CheckCall refuses members of the wrong type.
    const auto model = body.value("model", json());
    const auto stream = body.value("stream", json());
    out.call.target = model.is_string() ? model.get<std::string>() : "";
    out.stream = stream.is_boolean() && stream.get<bool>();
  }
}

void CallerApi::RegisterSubagent(Fiber& fiber, const ForwardedCall& call) {
  if (call.parent.empty()) {
    return;
  }
  // The owner of the parent's lane counts the sub-agents. Registering one that
  // it already knows writes nothing.
  auto claim = call;
  claim.operation = Operation::kSubagent;
  claim.program = call.parent;
  claim.key = call.program;
  claim.call = 0;
  claim.body.clear();
  router_.Route(fiber, claim, [](const AnswerFrame&) {});
}

void CallerApi::Answer(Fiber& fiber,
                       const CallerRequest& parsed,
                       HttpExchange& exchange) {
  if (parsed.urgent) {
    AnswerUrgent(fiber, parsed.call, exchange);
    return;
  }
  if (IsCall(parsed.call.operation)) {
    RegisterSubagent(fiber, parsed.call);
  }
  if (parsed.call.operation == Operation::kModel) {
    AnswerModel(fiber, parsed.call, parsed.stream, exchange);
  } else {
    AnswerPlain(fiber, parsed.call, exchange);
  }
}

void CallerApi::AnswerModel(Fiber& fiber,
                            const ForwardedCall& call,
                            bool stream,
                            HttpExchange& exchange) {
  const std::vector<HttpHeader> headers{{"Comfreyfold-Program", call.program},
                                        {"Idempotency-Key", call.key},
                                        {"Comfreyfold-Verdict", "ran"}};
  const std::vector<HttpHeader> stream_headers{
      {"Comfreyfold-Program", call.program}, {"Idempotency-Key", call.key}};
  const auto created =
      std::chrono::duration_cast<std::chrono::seconds>(WallClock()).count();
  json chunk = {{"id", call.key},
                {"object", "chat.completion.chunk"},
                {"created", created},
                {"model", call.target},
                {"choices",
                 {{{"index", 0},
                   {"delta", json::object()},
                   {"finish_reason", nullptr}}}}};
  std::size_t streamed = 0;
  StreamTimer stream_timer(metrics_);
  const DeltaEvent delta(chunk);
  const auto write_delta = [&](const std::string& text) {
    if (!exchange.begun()) {
      exchange.Begin(200, "text/event-stream", stream_headers);
    }
    if (streamed == 0) {
      auto first = chunk;
      first["choices"][0]["delta"] = {{"role", "assistant"}, {"content", text}};
      exchange.Write(StreamEvent(Dump(first)));
    } else {
      exchange.Write(delta.Render(text));
    }
    streamed += text.size();
  };
  AnswerFrame done;
  router_.Route(fiber, call, [&](const AnswerFrame& frame) {
    if (frame.kind == FrameKind::kDone) {
      done = frame;
      return;
    }
    stream_timer.ObservePiece();
    if (stream) {
      write_delta(frame.content);
    }
  });
  const json usage = {
      {"prompt_tokens", done.prompt_tokens},
      {"completion_tokens", done.completion_tokens},
      {"total_tokens", done.prompt_tokens + done.completion_tokens},
      {"prompt_tokens_details", {{"cached_tokens", done.cached_tokens}}}};
  if (!stream) {
    const json body = {
        {"id", call.key},
        {"object", "chat.completion"},
        {"created", created},
        {"model", call.target},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", done.content}}},
           {"finish_reason", "stop"}}}},
        {"usage", usage}};
    exchange.Reply(200, kJsonType, Dump(body), headers);
    return;
  }
  // An answer from the journal has not been streamed yet, or only in part.
  if (streamed < done.content.size()) {
    write_delta(done.content.substr(streamed));
  }
  if (!exchange.begun()) {
    exchange.Begin(200, "text/event-stream", stream_headers);
  }
  chunk["choices"][0]["delta"] = json::object();
  chunk["choices"][0]["finish_reason"] = "stop";
  chunk["usage"] = usage;
  exchange.Write(StreamEvent(Dump(chunk)));
  exchange.Write("data: [DONE]\n\n");
  exchange.End();
}

void CallerApi::AnswerPlain(Fiber& fiber,
                            const ForwardedCall& call,
                            HttpExchange& exchange) {
  AnswerFrame done;
  router_.Route(fiber, call, [&done](const AnswerFrame& frame) {
    if (frame.kind == FrameKind::kDone) {
      done = frame;
    }
  });
  exchange.Reply(done.status, kJsonType, done.content,
                 {{"Comfreyfold-Verdict", "ran"},
                  {"Comfreyfold-Program", call.program},
                  {"Idempotency-Key", call.key}});
}

void CallerApi::AnswerUrgent(Fiber& fiber,
                             const ForwardedCall& call,
                             HttpExchange& exchange) {
  const auto result = urgent_.Send(fiber, call);
  exchange.Reply(result.status, kJsonType, result.body,
                 {{"Comfreyfold-Verdict", "ran"}});
}

}  // namespace comfreyfold
