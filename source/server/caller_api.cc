#include "server/caller_api.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "core/call_error.h"
#include "net/error_reply.h"
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

// Answers come from servers as they are: text that is not UTF-8 is shown
// with replacement characters.
std::string Dump(const json& data) {
  return data.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string StreamEvent(const std::string& data) {
  return "data: " + data + "\n\n";
}

// A streamed chunk whose text alone changes: the rest is written out once.
class DeltaEvent {
 public:
  explicit DeltaEvent(json chunk) {
    chunk["choices"][0]["delta"] = {{"content", kMark}};
    const auto event = StreamEvent(Dump(chunk));
    const auto mark = Dump(kMark);
    // The delta is the first member that holds it.
    const auto n = event.find(mark);
    before_ = event.substr(0, n);
    after_ = event.substr(n + mark.size());
  }

  std::string With(const std::string& text) const {
    return before_ + Dump(text) + after_;
  }

 private:
  static constexpr char kMark[] = "\n";
  std::string before_;
  std::string after_;
};

// One of the program's own calls, as against a question about it.
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

// A name from a header, or one made here.
std::string TakeName(const HttpRequest& request,
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

// Measures when the pieces of a stream come.
class PieceTimes {
 public:
  explicit PieceTimes(Metrics& metrics) : metrics_(metrics) {}

  void Piece() {
    const auto now = std::chrono::steady_clock::now();
    if (first_) {
      metrics_.ObserveFirstToken(now - last_);
    } else {
      metrics_.ObserveTokenGap(now - last_);
    }
    first_ = false;
    last_ = now;
  }

 private:
  Metrics& metrics_;
  bool first_ = true;
  std::chrono::steady_clock::time_point last_ =
      std::chrono::steady_clock::now();
};

std::vector<std::string> Split(const std::string& path) {
  std::vector<std::string> out;
  std::size_t start = 1;
  while (start <= path.size()) {
    const auto n = std::min(path.find('/', start), path.size());
    out.push_back(path.substr(start, n - start));
    start = n + 1;
  }
  return out;
}

std::int64_t ReadPlace(const std::string& text) {
  std::int64_t out = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), out);
  if (ec != std::errc() || end != text.data() + text.size() || out < 1) {
    Refuse(400, "bad_call_number",
           "Comfreyfold-Call must be a whole number from 1");
  }
  return out;
}

}  // namespace

const char* CallerApi::NameOf(const CallerRequest& read) {
  return read.urgent ? "urgent" : comfreyfold::NameOf(read.call.operation);
}

Event CallerApi::EventOf(const char* name, const CallerRequest& read) {
  return {.name = name,
          .customer = read.call.customer,
          .program = read.call.program,
          .key = read.call.key,
          .detail = NameOf(read)};
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
  CallerRequest read;
  std::string code = "ok";
  try {
    contracts_.EnsureCurrent(fiber);
    ReadCaller(request, read.call);
    ReadTarget(request, read);
    log_.Write(EventOf("call_received", read));
    Answer(fiber, read, exchange);
    log_.Write(EventOf("call_answered", read));
  } catch (const CallError& e) {
    code = e.code();
    const auto verdict = std::string(ToString(e.verdict()));
    metrics_.CountRefusal(code, verdict);
    auto event = EventOf("call_refused", read);
    event.detail += " " + code + " " + verdict;
    log_.Write(event);
    SendError(exchange, e);
  }
  metrics_.CountCall(NameOf(read), code,
                     std::chrono::steady_clock::now() - start);
  return true;
}

void CallerApi::ReadCaller(const HttpRequest& request,
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
  // A call outside any program is a program of one call.
  out.program = TakeName(request, "Comfreyfold-Program", "single-");
  out.key = TakeName(request, "Idempotency-Key", "");
  const auto parent = request.Header("Comfreyfold-Parent");
  if (!parent.empty()) {
    CheckName("Comfreyfold-Parent", parent);
    out.parent = parent;
  }
  const auto place = request.Header("Comfreyfold-Call");
  if (!place.empty()) {
    out.call = ReadPlace(place);
  }
  out.body = request.body;
  out.deadline = deadline_;
}

void CallerApi::ReadTarget(const HttpRequest& request,
                           CallerRequest& out) const {
  const auto parts = Split(request.Path());
  const bool post = request.method == "POST";
  const bool get = request.method == "GET";
  if (post && request.Path() == "/v1/chat/completions") {
    ReadModelCall(out);
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

void CallerApi::ReadModelCall(CallerRequest& out) {
  out.call.operation = Operation::kModel;
  const auto body = json::parse(out.call.body, nullptr, false);
  if (body.is_object()) {
    // Of the wrong type they are refused by CheckCall.
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
  // The parent's owner counts; one that it knows costs no write.
  auto claim = call;
  claim.operation = Operation::kSubagent;
  claim.program = call.parent;
  claim.key = call.program;
  claim.call = 0;
  claim.body.clear();
  router_.Route(fiber, claim, [](const AnswerFrame&) {});
}

void CallerApi::Answer(Fiber& fiber,
                       const CallerRequest& read,
                       HttpExchange& exchange) {
  if (read.urgent) {
    AnswerUrgent(fiber, read.call, exchange);
    return;
  }
  if (IsCall(read.call.operation)) {
    RegisterSubagent(fiber, read.call);
  }
  if (read.call.operation == Operation::kModel) {
    AnswerModel(fiber, read.call, read.stream, exchange);
  } else {
    AnswerPlain(fiber, read.call, exchange);
  }
}

void CallerApi::AnswerModel(Fiber& fiber,
                            const ForwardedCall& call,
                            bool stream,
                            HttpExchange& exchange) {
  const std::vector<HttpHeader> headers{{"Comfreyfold-Program", call.program},
                                        {"Idempotency-Key", call.key},
                                        {"Comfreyfold-Verdict", "ran"}};
  const std::vector<HttpHeader> early{{"Comfreyfold-Program", call.program},
                                      {"Idempotency-Key", call.key}};
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
  PieceTimes times(metrics_);
  const DeltaEvent delta(chunk);
  const auto write = [&](const std::string& text) {
    if (!exchange.begun()) {
      exchange.Begin(200, "text/event-stream", early);
    }
    if (streamed == 0) {
      auto first = chunk;
      first["choices"][0]["delta"] = {{"role", "assistant"}, {"content", text}};
      exchange.Write(StreamEvent(Dump(first)));
    } else {
      exchange.Write(delta.With(text));
    }
    streamed += text.size();
  };
  AnswerFrame done;
  router_.Route(fiber, call, [&](const AnswerFrame& frame) {
    if (frame.kind == FrameKind::kDone) {
      done = frame;
      return;
    }
    times.Piece();
    if (stream) {
      write(frame.content);
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
  // An answer from the record was not streamed yet, or only its start.
  if (streamed < done.content.size()) {
    write(done.content.substr(streamed));
  }
  if (!exchange.begun()) {
    exchange.Begin(200, "text/event-stream", early);
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
