#ifndef BACKEND_ENGINE_CLIENT_H_
#define BACKEND_ENGINE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "core/verdict.h"
#include "net/http_client.h"

namespace comfreyfold {

// Thrown when a backend server gave no complete, successful answer. The
// verdict says whether the request may have run on that server.
class BackendFailure : public std::runtime_error {
 public:
  BackendFailure(const std::string& what, Verdict verdict)
      : std::runtime_error(what), verdict_(verdict) {}
  Verdict verdict() const { return verdict_; }

 private:
  Verdict verdict_;
};

// One model turn, as sent to an engine.
struct EngineCall {
  std::string request_id;  // Identifies the stream for resume and cancel.
  std::string program;     // Owner of the engine's cache: customer/program.
  std::string model;
  std::string messages;  // JSON array: the whole history and the new turn.
  std::int64_t max_tokens = 0;
  int priority = 0;  // Engines serve higher values first.
  // The engine may already be running this request: resume its stream first
  // and start a new one only if the engine does not know it.
  bool resume = false;
  std::chrono::milliseconds idle_timeout{5000};
  // Receives the answer text in pieces as it is generated.
  std::function<void(std::string_view)> on_text;
};

struct EngineResult {
  std::string text;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t cached_tokens = 0;  // Prompt tokens served from the cache.
};

// Client of the model engines: streamed chat completions in the OpenAI format,
// and the engines' own requests for cancelling streams and managing the cache.
class EngineClient {
 public:
  // Tokens of a stream that arrive within `coalescing` of each other are
  // forwarded together; the first tokens are forwarded immediately.
  EngineClient(HttpClient& http, std::chrono::milliseconds coalescing);

  // Runs `call` and returns its whole result. An interrupted stream is resumed
  // at the same engine before the call fails. Throws BackendFailure.
  EngineResult Complete(Fiber& fiber,
                        const std::string& address,
                        const EngineCall& call);

  // Stops the generation of a stream that is no longer needed. Succeeds if the
  // engine does not know the stream. Throws BackendFailure.
  void Cancel(Fiber& fiber,
              const std::string& address,
              const std::string& request_id);

  // Frees the cache that the engine holds for `program`.
  // Throws BackendFailure.
  void Release(Fiber& fiber,
               const std::string& address,
               const std::string& program);

  // Returns a serialized copy of the cache that the engine holds for
  // `program`, or an empty string if it holds none. Throws BackendFailure.
  std::string Export(Fiber& fiber,
                     const std::string& address,
                     const std::string& program);
  // Loads a copy made by Export into any engine. Returns the number of tokens
  // that this engine did not have in its cache yet. Throws BackendFailure.
  std::int64_t Import(Fiber& fiber,
                      const std::string& address,
                      const std::string& program,
                      const std::string& copy);

 private:
  HttpReply PostCacheRequest(Fiber& fiber,
                             const std::string& address,
                             const std::string& operation,
                             const std::string& body);
  HttpReply SendControlRequest(Fiber& fiber,
                               const std::string& address,
                               const HttpRequest& request);

  HttpClient& http_;
  std::chrono::milliseconds coalescing_;
};

// Returns the id of a call's stream at its engine, derived from the call's
// idempotency key.
std::string StreamId(const std::string& customer,
                     const std::string& program,
                     const std::string& key);

}  // namespace comfreyfold

#endif  // BACKEND_ENGINE_CLIENT_H_
