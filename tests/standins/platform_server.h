#ifndef STANDINS_PLATFORM_SERVER_H_
#define STANDINS_PLATFORM_SERVER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// Stand-in for a backend server of the platform. Answers a request with its
// body, or with a stream of events if the path contains "/stream/", and records
// each run. It has two faults in addition to those in faults.h:
//   stranger     sends the answer to another request before its own
//   unsigned     omits the signature from the answer
// GET /api/report reports when the process started.
// GET /audit reports the number of runs by request id as JSON.
class PlatformServer : public Service {
 public:
  PlatformServer(Loop& loop,
                 std::string id,
                 std::chrono::milliseconds work_time);
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

  struct Run {
    std::string request_id;
    HttpRequest request;
    bool client_disconnected = false;
    bool ended = false;  // The server is no longer at work on it.
    std::chrono::steady_clock::time_point received_at =
        std::chrono::steady_clock::now();
  };
  const std::vector<Run>& runs() const { return runs_; }
  void SetWorkTime(std::chrono::milliseconds work_time) {
    work_time_ = work_time;
  }
  // Makes the data of each event longer by this number of bytes.
  void SetEventBytes(std::size_t bytes) { event_bytes_ = bytes; }
  int RunsOf(const std::string& request_id) const;
  // Makes the server crash when it begins to run a request whose body ends with
  // `body`: it breaks off all answers and calls `stop_listening`.
  void CrashOn(std::string body, std::function<void()> stop_listening) {
    crashing_body_ = std::move(body);
    stop_listening_ = std::move(stop_listening);
  }
  // Makes the server say in its answers that it is leaving.
  void SetLeaving(bool leaving) { leaving_ = leaving; }
  // Makes the server report this start of its process; 0: none.
  void SetStarted(std::chrono::milliseconds started) { started_ = started; }
  // Number of requests for its state.
  int state_requests() const { return state_requests_; }
  // Makes the server take this time within its report of its state.
  void SetStateTime(std::chrono::milliseconds time) { state_time_ = time; }
  // Makes the server name this limit in its answers; empty: none.
  void SetLimit(std::string limit) { limit_ = std::move(limit); }
  // The most requests that the server ran within any period of this length,
  // and the number since `since`.
  int MostRunsWithin(std::chrono::milliseconds period,
                     std::chrono::steady_clock::time_point since) const;
  int RunsSince(std::chrono::steady_clock::time_point since) const;
  bool crashed() const { return crashed_; }
  Faults& faults() { return faults_; }
  static constexpr int kEvents = 4;  // Events per stream.

 private:
  void SendEvents(Fiber& fiber,
                  const HttpRequest& request,
                  HttpExchange& exchange);
  std::vector<HttpHeader> ResponseHeaders(const std::string& request_id) const;
  void CrashIfAsked(const HttpRequest& request);
  // Runs the request that `runs_[n]` records.
  void Serve(Fiber& fiber,
             const HttpRequest& request,
             HttpExchange& exchange,
             std::vector<HttpHeader> headers,
             std::size_t n);
  // Waits for the work time; returns false if the client disconnects or the
  // server crashes meanwhile.
  bool SimulateWork(Fiber& fiber, HttpExchange& exchange, std::size_t n);
  void ReplyAudit(HttpExchange& exchange) const;
  void ReplyState(Fiber& fiber, HttpExchange& exchange) const;

  Loop& loop_;
  std::string id_;
  std::chrono::milliseconds work_time_;
  std::size_t event_bytes_ = 0;
  Faults faults_;
  std::vector<Run> runs_;
  std::string crashing_body_;  // Empty: no request crashes the server.
  std::function<void()> stop_listening_;
  bool crashed_ = false;
  bool leaving_ = false;
  std::string limit_;
  std::chrono::milliseconds started_{0};
  int state_requests_ = 0;
  std::chrono::milliseconds state_time_{0};
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_PLATFORM_SERVER_H_
