#include "backend/engine_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "clients/base64.h"
#include "core/stream_pacer.h"
#include "net/json_parser.h"

namespace comfreyfold {

namespace {

using nlohmann::json;

constexpr int kMaxResumeAttempts = 2;
constexpr std::chrono::milliseconds kControlTimeout{1000};

// Assembles the answer to a chat completion from its server-sent events.
class CompletionParser {
 public:
  explicit CompletionParser(const EngineCall& call) : call_(call) {}

  // Parses the events that `data` completes and forwards their text in one
  // piece.
  void Feed(std::string_view data) {
    buf_ += data;
    const std::string_view all(buf_);
    std::size_t start = 0;
    for (auto n = all.find(kEventEnd); n != std::string_view::npos;
         n = all.find(kEventEnd, start)) {
      ParseEvent(all.substr(start, n - start));
      start = n + kEventEnd.size();
    }
    buf_.erase(0, start);
    ForwardNewText();
  }

  // Drops an incomplete event: a resumed stream starts at an event boundary.
  void DropPartialEvent() { buf_.clear(); }

  bool done() const { return done_; }
  bool has_forwarded_text() const { return forwarded_bytes_ > 0; }
  std::int64_t event_count() const { return event_count_; }
  EngineResult& result() { return result_; }

 private:
  static constexpr std::string_view kEventEnd = "\n\n";

  void ForwardNewText() {
    if (forwarded_bytes_ < result_.text.size()) {
      const auto start = std::exchange(forwarded_bytes_, result_.text.size());
      call_.on_text(std::string_view(result_.text).substr(start));
    }
  }

  void ParseEvent(std::string_view event) {
    constexpr std::string_view kData = "data: ";
    if (event.rfind(kData, 0) != 0) {
      return;
    }
    ++event_count_;
    const auto text = event.substr(kData.size());
    if (text == "[DONE]") {
      done_ = true;
      return;
    }
    const auto chunk = ParseJson(text);
    if (!chunk.is_object()) {
      return;
    }
    ParseUsage(chunk);
    const auto choices = chunk.find("choices");
    if (choices != chunk.end()) {
      for (const auto& it : *choices) {
        AppendDelta(it);
      }
    }
  }

  void AppendDelta(const json& choice) {
    const auto delta = choice.find("delta");
    if (delta == choice.end()) {
      return;
    }
    const auto content = delta->find("content");
    // Some engines send a null content before the first text.
    if (content != delta->end() && content->is_string()) {
      result_.text += content->get_ref<const std::string&>();
    }
  }

  void ParseUsage(const json& chunk) {
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
  std::size_t forwarded_bytes_ = 0;  // Bytes of the result's text.
  std::string buf_;
  bool done_ = false;
  std::int64_t event_count_ = 0;
  EngineResult result_;
};

std::string RequestBody(const EngineCall& call) {
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
  // Names contain no '/', so different calls have different ids. The hash
  // makes the id safe to use in a URL.
  return Sha256Hex(customer + "/" + program + "/" + key);
}

EngineClient::EngineClient(HttpClient& http,
                           std::chrono::milliseconds coalescing)
    : http_(http), coalescing_(coalescing) {}

EngineResult EngineClient::Complete(Fiber& fiber,
                                    const std::string& address,
                                    const EngineCall& call) {
  CompletionParser parser(call);
  HttpOptions options;
  options.idle_timeout = call.idle_timeout;
  // Replies do not name their request. On a kept connection, a copy of an
  // earlier one would be taken for a refusal of a request that runs.
  options.fresh_connection = true;
  StreamPacer pacer(coalescing_);
  options.on_data = [&parser, &pacer](std::string_view data) {
    parser.Feed(data);
    if (parser.has_forwarded_text()) {
      pacer.OnForwarded(std::chrono::steady_clock::now());
    }
  };
  options.read_pause = [&parser, &pacer] {
    return parser.done() ? std::chrono::milliseconds::zero()
                         : pacer.Pause(std::chrono::steady_clock::now());
  };
  const HttpRequest start{"POST",
                          "/v1/chat/completions",
                          {{"Content-Type", "application/json"},
                           {"X-Request-Id", call.request_id},
                           {"X-Program", call.program}},
                          RequestBody(call)};
  auto request = call.resume ? ResumeRequest(call, 0) : start;
  bool sent = call.resume;
  for (int n = 0; n <= kMaxResumeAttempts; ++n) {
    try {
      const auto reply = http_.Send(fiber, address, request, options);
      if (reply.status == 404 && request.method == "GET" &&
          parser.event_count() == 0) {
        // The engine does not know the stream, and none of its events has
        // arrived yet, so it can be started anew.
        request = start;
        continue;
      }
      if (reply.status == 503 || reply.status == 429) {
        throw BackendFailure("engine refused the request with status " +
                                 std::to_string(reply.status),
                             sent ? Verdict::kMayHaveRun : Verdict::kNotRun);
      }
      if (reply.status != 200) {
        throw BackendFailure(
            "engine answered with status " + std::to_string(reply.status),
            Verdict::kMayHaveRun);
      }
      if (parser.done()) {
        return std::move(parser.result());
      }
      sent = true;
    } catch (const HttpFailure& e) {
      sent = sent || e.sent();
      if (!sent) {
        throw BackendFailure(e.what(), Verdict::kNotRun);
      }
    }
    // The engine continues generating, so the request is resumed at the first
    // event that has not arrived yet.
    parser.DropPartialEvent();
    request = ResumeRequest(call, parser.event_count());
  }
  throw BackendFailure("engine stream was interrupted and could not be resumed",
                       Verdict::kMayHaveRun);
}

HttpReply EngineClient::SendControlRequest(Fiber& fiber,
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
  const auto reply = SendControlRequest(
      fiber, address, {"DELETE", "/v1/streams/" + request_id, {}, {}});
  if (reply.status != 200 && reply.status != 404) {
    throw BackendFailure("cancel request was answered with status " +
                             std::to_string(reply.status),
                         Verdict::kMayHaveRun);
  }
}

HttpReply EngineClient::PostCacheRequest(Fiber& fiber,
                                         const std::string& address,
                                         const std::string& operation,
                                         const std::string& body) {
  auto reply = SendControlRequest(fiber, address,
                                  {"POST",
                                   "/cache/" + operation,
                                   {{"Content-Type", "application/json"}},
                                   body});
  if (reply.status != 200) {
    throw BackendFailure(operation + " request was answered with status " +
                             std::to_string(reply.status),
                         Verdict::kMayHaveRun);
  }
  return reply;
}

void EngineClient::Release(Fiber& fiber,
                           const std::string& address,
                           const std::string& program) {
  PostCacheRequest(fiber, address, "release",
                   json{{"program", program}}.dump());
}

std::string EngineClient::Export(Fiber& fiber,
                                 const std::string& address,
                                 const std::string& program) {
  const auto reply = PostCacheRequest(fiber, address, "export",
                                      json{{"program", program}}.dump());
  const auto answer = ParseJson(reply.body);
  return answer.is_object() ? answer.value("cache", std::string())
                            : std::string();
}

std::int64_t EngineClient::Import(Fiber& fiber,
                                  const std::string& address,
                                  const std::string& program,
                                  const std::string& copy) {
  const auto reply =
      PostCacheRequest(fiber, address, "import",
                       json{{"program", program}, {"cache", copy}}.dump());
  const auto answer = ParseJson(reply.body);
  return answer.is_object() ? answer.value("imported_tokens", std::int64_t{0})
                            : 0;
}

}  // namespace comfreyfold
