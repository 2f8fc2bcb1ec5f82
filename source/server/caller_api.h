#ifndef SERVER_CALLER_API_H_
#define SERVER_CALLER_API_H_

#include <chrono>
#include <memory>
#include <string>

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
            std::chrono::milliseconds deadline);

  // False when the path is not one of its own.
  bool Handle(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);

 private:
  void HandleCall(Fiber& fiber,
                  const HttpRequest& request,
                  HttpExchange& exchange);
  void RegisterSubagent(Fiber& fiber, const ForwardedCall& call);
  ForwardedCall ReadCall(const HttpRequest& request) const;
  void ReadModelCall(const HttpRequest& request, ForwardedCall& call) const;
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
  std::chrono::milliseconds deadline_;
};

}  // namespace comfreyfold

#endif  // SERVER_CALLER_API_H_
