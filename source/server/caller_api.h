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

// The interface of agent programs: chat completions in the published form,
// tools, plain services, urgent messages, and what belongs to a program.
class CallerApi {
 public:
  CallerApi(ContractStore& contracts,
            CallRouter& router,
            UrgentSender& urgent,
            EventLog& log,
            Metrics& metrics,
            std::chrono::milliseconds deadline);

  // False when the path is not one of its own.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  // What a caller's request says, as far as it was read.
  struct CallerRequest {
    ForwardedCall call;
    bool urgent = false;
    bool stream = false;
  };

  static const char* NameOf(const CallerRequest& read);
  static Event EventOf(const char* name, const CallerRequest& read);
  void ReadCaller(const HttpRequest& request, ForwardedCall& out) const;
  void ReadTarget(const HttpRequest& request, CallerRequest& out) const;
  static void ReadModelCall(CallerRequest& out);
  void RegisterSubagent(Fiber& fiber, const ForwardedCall& call);
  void Answer(Fiber& fiber, const CallerRequest& read, HttpExchange& exchange);
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
