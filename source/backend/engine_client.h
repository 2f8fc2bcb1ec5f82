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

// A backend server did not answer whole. The verdict says whether the
// request may have run there.
class BackendFailure : public std::runtime_error {
 public:
  BackendFailure(const std::string& what, Verdict verdict)
      : std::runtime_error(what), verdict_(verdict) {}
  Verdict verdict() const { return verdict_; }

 private:
  Verdict verdict_;
};

// One model turn as it goes to an engine.
struct EngineCall {
  std::string request_id;  // Names the stream for resume and cancel.
  std::string program;     // Owner of the engine memory: customer/program.
  std::string model;
  std::string messages;  // JSON array: the whole history and the turn.
  std::int64_t max_tokens = 0;
  int priority = 0;  // Higher goes first.
  // The engine may know the request already: go on with its stream.
  bool resume = false;
  std::chrono::milliseconds idle_timeout{5000};
  // Receives the answer as it is generated.
  std::function<void(std::string_view)> on_text;
};

struct EngineResult {
  std::string text;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t cached_tokens = 0;  // Prompt tokens found in the cache.
};

// Speaks to model engines: chat completions in the published form, and the
// engines' own calls for memory and load.
class EngineClient {
 public:
  explicit EngineClient(HttpClient& http);

  // Throws BackendFailure. A stream cut on the way is resumed at the same
  // engine before it counts as failed.
  EngineResult Complete(Fiber& fiber,
                        const std::string& address,
                        const EngineCall& call);

  // Ends the generation of a stream that nobody needs any more; a stream
  // that the engine does not know is none. Throws BackendFailure.
  void Cancel(Fiber& fiber,
              const std::string& address,
              const std::string& request_id);

  // Frees all memory that the engine holds for `program`.
  // Throws BackendFailure.
  void Release(Fiber& fiber,
               const std::string& address,
               const std::string& program);

  // A copy of what the engine holds for `program`, empty when it holds
  // nothing; and the way back, to any engine. Throw BackendFailure.
  std::string Export(Fiber& fiber,
                     const std::string& address,
                     const std::string& program);
  // Returns the tokens that the engine lacked.
  std::int64_t Import(Fiber& fiber,
                      const std::string& address,
                      const std::string& program,
                      const std::string& copy);

 private:
  HttpReply Cache(Fiber& fiber,
                  const std::string& address,
                  const std::string& verb,
                  const std::string& body);
  HttpReply Control(Fiber& fiber,
                    const std::string& address,
                    const HttpRequest& request);

  HttpClient& http_;
};

// The name of a call's stream at its engine.
std::string StreamId(const std::string& customer,
                     const std::string& program,
                     const std::string& key);

}  // namespace comfreyfold

#endif  // BACKEND_ENGINE_CLIENT_H_
