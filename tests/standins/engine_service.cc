#include "standins/engine_service.h"

#include <nlohmann/json.hpp>

#include "core/hash.h"

namespace comfreyfold::standins {

namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::size_t kStreamsPathLength = 12;  // Length of "/v1/streams/".
constexpr std::chrono::seconds kMaxWait{3600};

std::int64_t TokensOfBytes(std::size_t bytes) {
  return EngineCache::TokensOfBytes(bytes);
}

std::int64_t NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string PromptText(const json& messages) {
  std::string out;
  for (const auto& it : messages) {
    out += it.value("role", "") + ":" + it.value("content", "") + "\n";
  }
  return out;
}

std::string EventText(const json& data) {
  return "data: " + data.dump() + "\n\n";
}

}  // namespace

EngineService::EngineService(Loop& loop, EngineOptions options)
    : loop_(loop),
      options_(options),
      slots_(loop, options.slots),
      cache_(options.cache),
      orders_(options.checks_fencing),
      load_(options.load_lag),
      stream_changed_(loop) {}

void EngineService::Generate(Fiber& fiber,
                             const HttpRequest& request,
                             const std::shared_ptr<Stream>& stream) {
  const auto body = json::parse(request.body);
  const auto program = request.Header("X-Program");
  const auto prompt = PromptText(body.at("messages"));
  const auto run = runs_.size();
  runs_.push_back({request.Header("X-Request-Id"), program,
                   TokensOfBytes(prompt.size()),
                   body.value("max_tokens", kDefaultMaxTokens)});
  runs_[run].arrival_us = NowUs();

  slots_.Acquire(fiber, body.value("priority", 0));
  if (!stream->cancelled) {
    cache_.BeginTurn(program);
    const auto cached = cache_.Store(program, prompt);
    runs_[run].cached_tokens = TokensOfBytes(cached);
    Prefill(fiber, prompt, cached);
    Decode(fiber, request, prompt, cached, *stream);
    cache_.EndTurn(program);
  }
  runs_[run].cancelled = stream->cancelled;
  stream->done = true;
  slots_.Release();
  stream_changed_.NotifyAll();
}

void EngineService::Prefill(Fiber& fiber,
                            const std::string& prompt,
                            std::size_t cached) {
  fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(
      options_.prefill_per_token * TokensOfBytes(prompt.size() - cached)));
}

void EngineService::Decode(Fiber& fiber,
                           const HttpRequest& request,
                           const std::string& prompt,
                           std::size_t cached,
                           Stream& stream) {
  const auto id = request.Header("X-Request-Id");
  const auto program = request.Header("X-Program");
  const auto body = json::parse(request.body);
  // The text starts with a hash of the prompt, so that tests can tell which
  // prompt an answer belongs to.
  const auto max_tokens = body.value("max_tokens", kDefaultMaxTokens);
  const auto prompt_hash = Hash64(prompt);
  for (std::int64_t i = 0; i < max_tokens && !stream.cancelled; ++i) {
    const auto word = i == 0 ? "answer-" + std::to_string(prompt_hash)
                             : " w" + std::to_string(i);
    stream.events.push_back(EventText(
        {{"id", id},
         {"object", "chat.completion.chunk"},
         {"choices", {{{"index", 0}, {"delta", {{"content", word}}}}}}}));
    cache_.Append(program, word);
    stream_changed_.NotifyAll();
    fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(
        options_.decode_per_token));
  }
  stream.events.push_back(
      EventText({{"id", id},
                 {"object", "chat.completion.chunk"},
                 {"choices", json::array()},
                 {"usage",
                  {{"prompt_tokens", TokensOfBytes(prompt.size())},
                   {"completion_tokens", max_tokens},
                   {"prompt_tokens_details",
                    {{"cached_tokens", TokensOfBytes(cached)}}}}}}));
  stream.events.emplace_back("data: [DONE]\n\n");
}

void EngineService::SendEvents(Fiber& fiber,
                               const std::shared_ptr<Stream>& stream,
                               std::size_t from,
                               HttpExchange& exchange) {
  if (faults_.Trigger("late")) {
    fiber.Sleep(faults_.Delay("late"));
  }
  exchange.Begin(200, "text/event-stream");
  std::size_t next = from;
  while (!exchange.broken()) {
    if (stream->cancelled) {
      exchange.Abort();
      return;
    }
    while (next < stream->events.size()) {
      exchange.Write(stream->events[next++]);
      if (faults_.Trigger("cut")) {
        exchange.Abort();
        return;
      }
    }
    if (stream->done) {
      break;
    }
    stream_changed_.Wait(fiber, kMaxWait);
  }
  exchange.End();
}

void EngineService::Complete(Fiber& fiber,
                             const HttpRequest& request,
                             HttpExchange& exchange) {
  if (faults_.Trigger("refuse") || draining_) {
    refusal_times_us_.push_back(NowUs());
    exchange.Reply(503, "application/json", R"({"error":"not run"})");
    return;
  }
  auto& stream = streams_[request.Header("X-Request-Id")];
  stream = std::make_shared<Stream>();
  loop_.Spawn([this, request, shared_stream = stream](Fiber& child) {
    Generate(child, request, shared_stream);
  });
  // Generation continues after the client disconnects, as real engines allow,
  // so that the client can resume the stream. The copy keeps the stream alive
  // if it is cancelled and removed from streams_ meanwhile.
  const auto shared_stream = stream;
  SendEvents(fiber, shared_stream, 0, exchange);
}

std::string EngineService::Audit() const {
  json out = {
      {"runs", json::array()},           {"held", cache_.Held()},
      {"refused_us", refusal_times_us_}, {"most_running", slots_.max_running()},
      {"orders", orders_.audit()},       {"state", orders_.State()}};
  for (const auto& it : runs_) {
    out["runs"].push_back({{"request_id", it.request_id},
                           {"program", it.program},
                           {"prompt_tokens", it.prompt_tokens},
                           {"completion_tokens", it.completion_tokens},
                           {"cached_tokens", it.cached_tokens},
                           {"time_us", it.arrival_us},
                           {"cancelled", it.cancelled}});
  }
  return out.dump();
}

std::string EngineService::Load() const {
  return json{{"running", slots_.running()},
              {"waiting", slots_.waiting()},
              {"slots", slots_.slots()},
              {"held_tokens", cache_.held_tokens()},
              {"memory_tokens", cache_.memory_tokens()},
              {"models", orders_.models()},
              {"draining", draining_}}
      .dump();
}

void EngineService::HandleStream(Fiber& fiber,
                                 const HttpRequest& request,
                                 HttpExchange& exchange) {
  const auto it = streams_.find(request.Path().substr(kStreamsPathLength));
  if (it == streams_.end()) {
    exchange.Reply(404, "application/json", "{}");
    return;
  }
  const auto stream = it->second;
  if (request.method == "DELETE") {
    stream->cancelled = !stream->done;
    streams_.erase(it);
    stream_changed_.NotifyAll();
    exchange.Reply(200, "application/json", "{}");
    return;
  }
  SendEvents(fiber, stream, std::stoul("0" + request.Query("from")), exchange);
}

std::int64_t EngineService::Import(Fiber& fiber,
                                   const std::string& program,
                                   const std::string& exported) {
  // Protects the imported prompt from eviction while the import takes time.
  cache_.BeginTurn(program);
  const auto missing_tokens = TokensOfBytes(cache_.Import(program, exported));
  fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(
      options_.import_per_token * missing_tokens));
  cache_.EndTurn(program);
  return missing_tokens;
}

bool EngineService::HandleCache(Fiber& fiber,
                                const HttpRequest& request,
                                HttpExchange& exchange) {
  const auto path = request.Path();
  if (path == "/cache/events") {
    const auto since = std::stoll("0" + request.Query("since"));
    exchange.Reply(200, "application/json",
                   json{{"events", cache_.Events(since)}}.dump());
    return true;
  }
  if (path.rfind("/cache/", 0) != 0) {
    return false;
  }
  const auto body = json::parse(request.body);
  const auto program = body.at("program").get<std::string>();
  json answer = json::object();
  if (path == "/cache/release") {
    cache_.Release(program);
  } else if (path == "/cache/export") {
    answer["cache"] = cache_.Export(program);
  } else if (path == "/cache/import") {
    answer["imported_tokens"] =
        Import(fiber, program, body.at("cache").get<std::string>());
  } else {
    return false;
  }
  exchange.Reply(200, "application/json", answer.dump());
  return true;
}

void EngineService::Handle(Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  const auto path = request.Path();
  if (path == "/audit") {
    exchange.Reply(200, "application/json", Audit());
    return;
  }
  if (!faults_.ApplyBeforeRequest(fiber, exchange)) {
    return;
  }
  if (path == "/v1/chat/completions") {
    Complete(fiber, request, exchange);
  } else if (path.rfind("/v1/streams/", 0) == 0) {
    HandleStream(fiber, request, exchange);
  } else if (path == "/load") {
    exchange.Reply(200, "application/json", load_.RecordAndGet(Load()));
  } else if (path == "/drain") {
    draining_ = true;
    exchange.Reply(200, "application/json", "{}");
  } else if (path == "/orders" && request.method == "POST") {
    orders_.Handle(request, exchange);
  } else if (path == "/orders") {
    exchange.Reply(200, "application/json", orders_.State().dump());
  } else if (!HandleCache(fiber, request, exchange)) {
    exchange.Reply(404, "application/json", "{}");
  }
}

}  // namespace comfreyfold::standins
