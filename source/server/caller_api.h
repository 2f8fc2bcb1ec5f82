#ifndef SERVER_CALLER_API_H_
#define SERVER_CALLER_API_H_

#include <chrono>
#include <memory>
#include <string>

#include "log/metrics.h"
#include "net/http_server.h"
#include "server/call_router.h"
#include "server/urgent_sender.h"

namespace comfreyfold {

// The HTTP interface for agent programs: OpenAI-compatible chat completions,
// tools, plain services, urgent messages, and requests about a program.
class CallerApi {
 public:
  CallerApi(ContractStore& contracts,
            CallRouter& router,
            UrgentSender& urgent,
            EventLog& log,
            Metrics& metrics,
            std::chrono::milliseconds deadline);

  // Returns false when the path does not belong to this interface.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  // The fields of a caller's request that have been parsed so far.
  struct CallerRequest {
    ForwardedCall call;
    bool urgent = false;
    bool stream = false;
  };

  static const char* NameOf(const CallerRequest& parsed);
  static Event EventOf(const char* name, const CallerRequest& parsed);
  void ParseCaller(const HttpRequest& request, ForwardedCall& out) const;
  void ParseTarget(const HttpRequest& request, CallerRequest& out) const;
  static void ParseModelCall(CallerRequest& out);
  void RegisterSubagent(Fiber& fiber, const ForwardedCall& call);
  void Answer(Fiber& fiber,
              const CallerRequest& parsed,
              HttpExchange& exchange);
  void AnswerModel(Fiber& fiber,
                   const ForwardedCall& call,
                   bool stream,
                   HttpExchange& exchange);
  void AnswerPlain(Fiber& fiber,
                   const ForwardedCall& call,
                   HttpExchange& exchange);
  void AnswerUrgent(Fiber& fiber,
                    const ForwardedCall& call,
                    HttpExchange& exchange);

  ContractStore& contracts_;
  CallRouter& router_;
  UrgentSender& urgent_;
  EventLog& log_;
  Metrics& metrics_;
  std::chrono::milliseconds deadline_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALLER_API_H_
