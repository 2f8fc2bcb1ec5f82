#ifndef STANDINS_TOOL_SERVICE_H_
#define STANDINS_TOOL_SERVICE_H_

#include <chrono>
#include <string>
#include <vector>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// Stand-in for a tool server or plain service. It runs every request, repeated
// ones too, and records each run; GET /audit reports the runs.
class ToolService : public Service {
 public:
  explicit ToolService(std::chrono::milliseconds work_time)
      : work_time_(work_time) {}
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  struct Run {
    std::string tool;
    std::string idempotency_key;
    std::string program;
    std::string body;
    std::int64_t arrival_us = 0;
  };

  std::chrono::milliseconds work_time_;
  Faults faults_;
  std::vector<Run> runs_;
  int running_ = 0;
  int refused_count_ = 0;
  bool draining_ = false;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_TOOL_SERVICE_H_
