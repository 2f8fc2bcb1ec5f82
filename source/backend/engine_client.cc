#include "backend/engine_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "core/stream_pacer.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr int kResumeAttempts = 2;
constexpr std::chrono::milliseconds kControlTimeout{1000};

// Collects server-sent events of a chat completion.
class CompletionReader {
 public:
  explicit CompletionReader(const EngineCall& call) : call_(call) {}

  // Passes the text of all events that `data` ends on in one piece.
  void Feed(std::string_view data) {
    buf_ += data;
    const std::string_view all(buf_);
    std::size_t start = 0;
    for (auto n = all.find(kEventEnd); n != std::string_view::npos;
         n = all.find(kEventEnd, start)) {
      TakeEvent(all.substr(start, n - start));
      start = n + kEventEnd.size();
    }
    buf_.erase(0, start);
    PassOn();
  }

  // A resumed stream starts at a whole event again.
  void Restart() { buf_.clear(); }

  bool done() const { return done_; }
  bool has_text() const { return passed_bytes_ > 0; }
  std::int64_t events() const { return events_; }
  EngineResult& result() { return result_; }

 private:
  static constexpr std::string_view kEventEnd = "\n\n";

  void PassOn() {
    if (passed_bytes_ < result_.text.size()) {
      const auto start = std::exchange(passed_bytes_, result_.text.size());
      call_.on_text(std::string_view(result_.text).substr(start));
    }
  }

  void TakeEvent(std::string_view event) {
    constexpr std::string_view kData = "data: ";
    if (event.rfind(kData, 0) != 0) {
      return;
    }
    ++events_;
    const auto text = event.substr(kData.size());
    if (text == "[DONE]") {
      done_ = true;
      return;
    }
    const auto chunk = json::parse(text, nullptr, false);
    if (!chunk.is_object()) {
      return;
    }
    TakeUsage(chunk);
    const auto choices = chunk.find("choices");
    if (choices != chunk.end()) {
      for (const auto& it : *choices) {
        TakeDelta(it);
      }
    }
  }

  void TakeDelta(const json& choice) {
    const auto delta = choice.find("delta");
    if (delta == choice.end()) {
      return;
    }
    const auto content = delta->find("content");
    // Some engines send null before the first text.
    if (content != delta->end() && content->is_string()) {
      result_.text += content->get_ref<const std::string&>();
    }
  }

  void TakeUsage(const json& chunk) {
    const auto it = chunk.find("usage");
    if (it == chunk.end() || !it->is_object()) {
      return;
    }
    result_.prompt_tokens = it->value("prompt_tokens", 0LL);
    result_.completion_tokens = it->value("completion_tokens", 0LL);
    result_.cached_tokens = it->value("prompt_tokens_details", json::object())
                                .value("cached_tokens", 0LL);
  }

  const EngineCall& call_;
  std::size_t passed_bytes_ = 0;  // Of the result's text.
  std::string buf_;
  bool done_ = false;
  std::int64_t events_ = 0;
  EngineResult result_;
};

std::string Body(const EngineCall& call) {
  const json out = {{"model", call.model},
                    {"messages", json::parse(call.messages)},
                    {"max_tokens", call.max_tokens},
                    {"priority", call.priority},
                    {"stream", true},
                    {"stream_options", {{"include_usage", true}}}};
  return out.dump();
}

HttpRequest ResumeRequest(const EngineCall& call, std::int64_t from) {
  return {"GET",
          "/v1/streams/" + call.request_id + "?from=" + std::to_string(from),
          {},
          {}};
}

}  // namespace

std::string StreamId(const std::string& customer,
                     const std::string& program,
                     const std::string& key) {
  // Names hold no '/', so no two calls share an id; hashed to fit a URL.
  return Sha256Hex(customer + "/" + program + "/" + key);
}

EngineClient::EngineClient(HttpClient& http,
                           std::chrono::milliseconds coalescing)
    : http_(http), coalescing_(coalescing) {}

EngineResult EngineClient::Complete(Fiber& fiber,
                                    const std::string& address,
                                    const EngineCall& call) {
  CompletionReader reader(call);
  HttpOptions options;
  options.idle_timeout = call.idle_timeout;
  StreamPacer pacer(coalescing_);
  options.on_data = [&reader, &pacer](std::string_view data) {
    reader.Feed(data);
    if (reader.has_text()) {
      pacer.OnForwarded(std::chrono::steady_clock::now());
    }
  };
  options.read_pause = [&reader, &pacer] {
    return reader.done() ? std::chrono::milliseconds::zero()
                         : pacer.Pause(std::chrono::steady_clock::now());
  };
  const HttpRequest start{"POST",
                          "/v1/chat/completions",
                          {{"Content-Type", "application/json"},
                           {"X-Request-Id", call.request_id},
                           {"X-Program", call.program}},
                          Body(call)};
  auto request = call.resume ? ResumeRequest(call, 0) : start;
  bool sent = call.resume;
  for (int n = 0; n <= kResumeAttempts; ++n) {
    try {
      const auto reply = http_.Send(fiber, address, request, options);
      if (reply.status == 404 && request.method == "GET" &&
          reader.events() == 0) {
        // Nothing of the stream is known here nor was passed on.
        request = start;
        continue;
      }
      if (reply.status == 503 || reply.status == 429) {
        throw BackendFailure(
            "engine refused with " + std::to_string(reply.status),
            sent ? Verdict::kMayHaveRun : Verdict::kNotRun);
      }
      if (reply.status != 200) {
        throw BackendFailure("engine answered " + std::to_string(reply.status),
                             Verdict::kMayHaveRun);
      }
      if (reader.done()) {
        return std::move(reader.result());
      }
      sent = true;
    } catch (const HttpFailure& e) {
      sent = sent || e.sent();
      if (!sent) {
        throw BackendFailure(e.what(), Verdict::kNotRun);
      }
    }
    // The engine goes on generating; ask for the events not seen yet.
    reader.Restart();
    request = ResumeRequest(call, reader.events());
  }
  throw BackendFailure("engine stream broke and could not be resumed",
                       Verdict::kMayHaveRun);
}

HttpReply EngineClient::Control(Fiber& fiber,
                                const std::string& address,
                                const HttpRequest& request) {
  HttpOptions options;
  options.connect_timeout = kControlTimeout;
  options.idle_timeout = kControlTimeout;
  try {
    return http_.Send(fiber, address, request, options);
  } catch (const HttpFailure& e) {
    throw BackendFailure(e.what(),
                         e.sent() ? Verdict::kMayHaveRun : Verdict::kNotRun);
  }
}

void EngineClient::Cancel(Fiber& fiber,
                          const std::string& address,
                          const std::string& request_id) {
  const auto reply =
      Control(fiber, address, {"DELETE", "/v1/streams/" + request_id, {}, {}});
  if (reply.status != 200 && reply.status != 404) {
    throw BackendFailure("cancel answered " + std::to_string(reply.status),
                         Verdict::kMayHaveRun);
  }
}

HttpReply EngineClient::Cache(Fiber& fiber,
                              const std::string& address,
                              const std::string& verb,
                              const std::string& body) {
  auto reply = Control(
      fiber, address,
      {"POST", "/cache/" + verb, {{"Content-Type", "application/json"}}, body});
  if (reply.status != 200) {
    throw BackendFailure(verb + " answered " + std::to_string(reply.status),
                         Verdict::kMayHaveRun);
  }
  return reply;
}

void EngineClient::Release(Fiber& fiber,
                           const std::string& address,
                           const std::string& program) {
  Cache(fiber, address, "release", json{{"program", program}}.dump());
}

std::string EngineClient::Export(Fiber& fiber,
                                 const std::string& address,
                                 const std::string& program) {
  const auto reply =
      Cache(fiber, address, "export", json{{"program", program}}.dump());
  const auto answer = json::parse(reply.body, nullptr, false);
  return answer.is_object() ? answer.value("cache", std::string())
                            : std::string();
}

std::int64_t EngineClient::Import(Fiber& fiber,
                                  const std::string& address,
                                  const std::string& program,
                                  const std::string& copy) {
  const auto reply = Cache(fiber, address, "import",
                           json{{"program", program}, {"cache", copy}}.dump());
  const auto answer = json::parse(reply.body, nullptr, false);
  return answer.is_object() ? answer.value("imported_tokens", std::int64_t{0})
                            : 0;
}

}  // namespace comfreyfold
