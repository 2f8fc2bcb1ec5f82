#include "standins/engine_service.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/hash.h"

namespace comfreyfold::standins {

namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerToken = 4;
constexpr std::int64_t kDefaultTokens = 16;
constexpr std::chrono::seconds kLongWait{3600};

std::int64_t Tokens(std::size_t bytes) {
  return static_cast<std::int64_t>(bytes / kBytesPerToken);
}

std::size_t CommonPrefix(const std::string& a, const std::string& b) {
  const auto n = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(n),
                    b.begin())
          .first -
      a.begin());
}

std::string Flatten(const json& messages) {
  std::string out;
  for (const auto& it : messages) {
    out += it.value("role", "") + ":" + it.value("content", "") + "\n";
  }
  return out;
}

std::string Event(const json& data) {
  return "data: " + data.dump() + "\n\n";
}

}  // namespace

EngineService::EngineService(Loop& loop, EngineCosts costs)
    : loop_(loop), costs_(costs), changed_(loop) {}

void EngineService::Generate(Fiber& fiber,
                             const HttpRequest& request,
                             const std::shared_ptr<Stream>& stream) {
  const auto body = json::parse(request.body);
  const auto id = request.Header("X-Request-Id");
  const auto program = request.Header("X-Program");
  const auto prompt = Flatten(body.at("messages"));

  ++waiting_;
  changed_.WaitUntil(fiber, kLongWait,
                     [this] { return running_ < costs_.slots; });
  --waiting_;
  ++running_;

  const auto cached = CommonPrefix(cache_[program], prompt);
  cache_[program] = prompt;
  runs_.push_back({id, program, Tokens(prompt.size()), Tokens(cached)});
  fiber.Sleep(std::chrono::ceil<std::chrono::milliseconds>(
      costs_.prefill_per_token * Tokens(prompt.size() - cached)));

  // The text depends on the prompt alone, so that an audit can tell whose
  // answer it is.
  const auto n = body.value("max_tokens", kDefaultTokens);
  const auto digest = Hash64(prompt);
  for (std::int64_t i = 0; i < n; ++i) {
    const auto word =
        i == 0 ? "answer-" + std::to_string(digest) : " w" + std::to_string(i);
    stream->events.push_back(
        Event({{"id", id},
               {"object", "chat.completion.chunk"},
               {"choices", {{{"index", 0}, {"delta", {{"content", word}}}}}}}));
    cache_[program] += word;
    changed_.NotifyAll();
    fiber.Sleep(
        std::chrono::ceil<std::chrono::milliseconds>(costs_.decode_per_token));
  }
  stream->events.push_back(Event(
      {{"id", id},
       {"object", "chat.completion.chunk"},
       {"choices", json::array()},
       {"usage",
        {{"prompt_tokens", Tokens(prompt.size())},
         {"completion_tokens", n},
         {"prompt_tokens_details", {{"cached_tokens", Tokens(cached)}}}}}}));
  stream->events.emplace_back("data: [DONE]\n\n");
  stream->done = true;
  --running_;
  changed_.NotifyAll();
}

void EngineService::Follow(Fiber& fiber,
                           const std::shared_ptr<Stream>& stream,
                           std::size_t from,
                           HttpExchange& exchange) {
  exchange.Begin(200, "text/event-stream");
  std::size_t next = from;
  while (!exchange.broken()) {
    while (next < stream->events.size()) {
      exchange.Write(stream->events[next++]);
      if (faults_.Due("cut")) {
        exchange.Abort();
        return;
      }
    }
    if (stream->done) {
      break;
    }
    changed_.Wait(fiber, kLongWait);
  }
  exchange.End();
}

void EngineService::Complete(Fiber& fiber,
                             const HttpRequest& request,
                             HttpExchange& exchange) {
  if (faults_.Due("refuse") || draining_) {
    exchange.Reply(503, "application/json", R"({"error":"not run"})");
    return;
  }
  auto& stream = streams_[request.Header("X-Request-Id")];
  stream = std::make_shared<Stream>();
  loop_.Spawn([this, request, held = stream](Fiber& child) {
    Generate(child, request, held);
  });
  // Generation goes on when the caller is cut off, as real engines allow.
  const auto held = stream;
  Follow(fiber, held, 0, exchange);
}

std::string EngineService::Audit() const {
  json out = {{"runs", json::array()}, {"held", json::object()}};
  for (const auto& it : runs_) {
    out["runs"].push_back({{"request_id", it.request_id},
                           {"program", it.program},
                           {"prompt_tokens", it.prompt_tokens},
                           {"cached_tokens", it.cached_tokens}});
  }
  for (const auto& [program, prompt] : cache_) {
    out["held"][program] = Tokens(prompt.size());
  }
  return out.dump();
}

std::string EngineService::Load() const {
  std::int64_t held = 0;
  for (const auto& [program, prompt] : cache_) {
    held += Tokens(prompt.size());
  }
  return json{{"running", running_},
              {"waiting", waiting_},
              {"slots", costs_.slots},
              {"held_tokens", held},
              {"draining", draining_}}
      .dump();
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
  if (faults_.Due("out")) {
    exchange.Abort();
    return;
  }
  if (faults_.Due("slow")) {
    fiber.Sleep(faults_.Delay("slow"));
  }
  if (path == "/v1/chat/completions") {
    Complete(fiber, request, exchange);
  } else if (path == "/load") {
    exchange.Reply(200, "application/json", Load());
  } else if (path == "/drain") {
    draining_ = true;
    exchange.Reply(200, "application/json", "{}");
  } else if (path == "/cache/release") {
    cache_.erase(json::parse(request.body).at("program").get<std::string>());
    exchange.Reply(200, "application/json", "{}");
  } else if (path.rfind("/v1/streams/", 0) == 0) {
    const auto it = streams_.find(path.substr(12));
    if (it == streams_.end()) {
      exchange.Reply(404, "application/json", "{}");
      return;
    }
    const auto stream = it->second;
    Follow(fiber, stream, std::stoul("0" + request.Query("from")), exchange);
  } else {
    exchange.Reply(404, "application/json", "{}");
  }
}

}  // namespace comfreyfold::standins
