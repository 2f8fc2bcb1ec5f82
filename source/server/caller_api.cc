#include "server/caller_api.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/call_error.h"
#include "platform/base64.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr char kJsonType[] = "application/json";
constexpr std::size_t kLongestName = 200;

[[noreturn]] void Refuse(int status,
                         const char* code,
                         const std::string& message) {
  throw CallError(status, code, message, Verdict::kNotRun);
}

// Names and keys become parts of journal keys and log lines.
void CheckName(const std::string& what, const std::string& text) {
  const bool good = !text.empty() && text.size() <= kLongestName &&
                    std::all_of(text.begin(), text.end(), [](unsigned char c) {
                      return c > ' ' && c < 127 && c != '/';
                    });
  if (!good) {
    Refuse(400, "bad_name",
           what +
               " must be 1 to 200 printable characters without '/' or "
               "space");
  }
}

json ErrorBody(const CallError& e) {
  return {{"error",
           {{"code", e.code()},
            {"message", e.what()},
            {"type", "comfreyfold_error"},
            {"verdict", ToString(e.verdict())}}}};
}

std::vector<HttpHeader> ErrorHeaders(const CallError& e) {
  std::vector<HttpHeader> out{
      {"Comfreyfold-Verdict", std::string(ToString(e.verdict()))}};
  if (e.retry_after().count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(e.retry_after());
    out.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  return out;
}

std::string StreamEvent(const json& data) {
  return "data: " + data.dump() + "\n\n";
}

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

CallerApi::CallerApi(ContractStore& contracts,
                     CallRouter& router,
                     UrgentSender& urgent,
                     EventLog& log,
                     std::chrono::milliseconds deadline)
    : contracts_(contracts),
      router_(router),
      urgent_(urgent),
      log_(log),
      deadline_(deadline) {}

bool CallerApi::Handle(Fiber& fiber,
                       const HttpRequest& request,
                       HttpExchange& exchange) {
  if (request.Path().rfind("/v1/", 0) != 0) {
    return false;
  }
  try {
    HandleCall(fiber, request, exchange);
  } catch (const CallError& e) {
    log_.Write({.name = "call_refused",
                .program = request.Header("Comfreyfold-Program"),
                .key = request.Header("Idempotency-Key"),
                .detail = e.code() + " " + std::string(ToString(e.verdict()))});
    if (!exchange.begun()) {
      exchange.Reply(e.status(), kJsonType, ErrorBody(e).dump(),
                     ErrorHeaders(e));
    } else {
      exchange.Write(StreamEvent(ErrorBody(e)));
      exchange.End();
    }
  }
  return true;
}

ForwardedCall CallerApi::ReadCall(const HttpRequest& request) const {
  ForwardedCall out;
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
  out.program = request.Header("Comfreyfold-Program");
  // A call outside any program is a program of one call.
  if (out.program.empty()) {
    out.program = "single-" + RandomId();
  }
  out.key = request.Header("Idempotency-Key");
  if (out.key.empty()) {
    out.key = RandomId();
  }
  out.parent = request.Header("Comfreyfold-Parent");
  const auto place = request.Header("Comfreyfold-Call");
  if (!place.empty()) {
    out.call = ReadPlace(place);
  }
  out.body = request.body;
  out.deadline = deadline_;
  return out;
}

void CallerApi::ReadModelCall(const HttpRequest& request,
                              ForwardedCall& call) const {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    Refuse(400, "bad_json", "the body must be a JSON object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    Refuse(400, "bad_request", "'model' must be a string");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    Refuse(400, "bad_request", "'messages' must be a list with one or more");
  }
  for (const auto& it : body["messages"]) {
    if (!it.is_object() || !it.value("role", json()).is_string() ||
        !it.value("content", json()).is_string()) {
      Refuse(400, "bad_request",
             "each message must have 'role' and 'content' as strings");
    }
  }
  if (body.contains("max_tokens") &&
      (!body["max_tokens"].is_number_integer() ||
       body["max_tokens"].get<std::int64_t>() < 1)) {
    Refuse(400, "bad_request", "'max_tokens' must be a whole number from 1");
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    Refuse(400, "bad_request", "'stream' must be true or false");
  }
  call.operation = Operation::kModel;
  call.target = body["model"].get<std::string>();
}

void CallerApi::RegisterSubagent(Fiber& fiber, const ForwardedCall& call) {
  if (call.parent.empty()) {
    return;
  }
  CheckName("Comfreyfold-Parent", call.parent);
  // The parent's owner counts; one that it knows costs no write.
  auto claim = call;
  claim.operation = Operation::kSubagent;
  claim.program = call.parent;
  claim.key = call.program;
  claim.call = 0;
  claim.body.clear();
  router_.Route(fiber, claim, [](const AnswerFrame&) {});
}

void CallerApi::HandleCall(Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
  contracts_.EnsureCurrent(fiber);
  auto call = ReadCall(request);
  const auto parts = Split(request.Path());
  const bool post = request.method == "POST";
  if (post && request.Path() == "/v1/chat/completions") {
    CheckName("Comfreyfold-Program", call.program);
    CheckName("Idempotency-Key", call.key);
    ReadModelCall(request, call);
    RegisterSubagent(fiber, call);
    AnswerModel(fiber, call, json::parse(call.body).value("stream", false),
                exchange);
    return;
  }
  if (post && parts.size() == 3 &&
      (parts[1] == "tools" || parts[1] == "services" || parts[1] == "urgent")) {
    CheckName("Comfreyfold-Program", call.program);
    CheckName("Idempotency-Key", call.key);
    CheckName("the name in the path", parts[2]);
    if (json::parse(call.body, nullptr, false).is_discarded()) {
      Refuse(400, "bad_json", "the body must be JSON");
    }
    call.target = parts[2];
    call.operation =
        parts[1] == "services" ? Operation::kService : Operation::kTool;
    if (parts[1] == "urgent") {
      AnswerUrgent(fiber, call, exchange);
    } else {
      RegisterSubagent(fiber, call);
      AnswerPlain(fiber, call, exchange);
    }
    return;
  }
  if (parts.size() >= 4 && parts[1] == "programs") {
    call.program = parts[2];
    CheckName("the program in the path", call.program);
    if (post && parts.size() == 4 && parts[3] == "end") {
      call.operation = Operation::kEnd;
    } else if (!post && parts.size() == 4 && parts[3] == "history") {
      call.operation = Operation::kHistory;
    } else if (!post && parts.size() == 5 && parts[3] == "calls") {
      call.operation = Operation::kAnswer;
      call.key = parts[4];
    } else {
      Refuse(404, "no_such_path", "see the README for the paths");
    }
    AnswerPlain(fiber, call, exchange);
    return;
  }
  Refuse(404, "no_such_path", "see the README for the paths");
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
  json chunk = {{"id", call.key},
                {"object", "chat.completion.chunk"},
                {"model", call.target},
                {"choices", {{{"index", 0}, {"delta", json::object()}}}}};
  std::size_t streamed = 0;
  const auto write = [&](const std::string& text) {
    if (!exchange.begun()) {
      exchange.Begin(200, "text/event-stream", early);
    }
    chunk["choices"][0]["delta"] = {{"content", text}};
    exchange.Write(StreamEvent(chunk));
    streamed += text.size();
  };
  AnswerFrame done;
  router_.Route(fiber, call, [&](const AnswerFrame& frame) {
    if (frame.kind == FrameKind::kDone) {
      done = frame;
    } else if (stream) {
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
        {"model", call.target},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", done.content}}},
           {"finish_reason", "stop"}}}},
        {"usage", usage}};
    exchange.Reply(200, kJsonType, body.dump(), headers);
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
  exchange.Write(StreamEvent(chunk));
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
