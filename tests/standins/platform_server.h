#ifndef STANDINS_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_SERVER_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// A backend server of the users' platform: answers a request with its body
// and, where the path holds "/stream/", with events, and records what ran.
// Beside the usual faults:
//   stranger     first an answer to another request, then its own
//   unsigned     the answer bears no signature
// GET /audit gives the runs by request id as JSON.
class PlatformServer : public Service {
 public:
  PlatformServer(Loop& loop, std::string id, std::chrono::milliseconds work);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

  struct Run {
    std::string request_id;
    HttpRequest request;
    bool client_disconnected = false;
  };
  const std::vector<Run>& runs() const { return runs_; }
  void SetWorkTime(std::chrono::milliseconds work) { work_ = work; }
  int RunsOf(const std::string& request_id) const;
  Faults& faults() { return faults_; }
  static constexpr int kEvents = 4;

 private:
  void Stream(Fiber& fiber, const HttpRequest& request, HttpExchange& exchange);
  std::vector<HttpHeader> Headers(const std::string& request_id) const;
  // False when the one who asked left meanwhile.
  bool Work(Fiber& fiber, HttpExchange& exchange, Run& run) const;
  void Audit(HttpExchange& exchange) const;

  Loop& loop_;
  std::string id_;
  std::chrono::milliseconds work_;
  Faults faults_;
  std::vector<Run> runs_;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_PLATFORM_SERVER_H_
