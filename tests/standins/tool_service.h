#ifndef STANDINS_TOOL_SERVICE_H_
#define STANDINS_TOOL_SERVICE_H_

#include <chrono>
#include <string>
#include <vector>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// A tool server or plain service: runs whatever it is told, twice if told
// twice, and records each run for the audit.
class ToolService : public Service {
 public:
  explicit ToolService(std::chrono::milliseconds work) : work_(work) {}
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  struct Run {
    std::string tool;
    std::string key;
    std::string program;
    std::string body;
    std::int64_t time_us = 0;
  };

  std::chrono::milliseconds work_;
  Faults faults_;
  std::vector<Run> runs_;
  int running_ = 0;
  int refused_ = 0;
  bool draining_ = false;
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_TOOL_SERVICE_H_
