#ifndef HARNESS_PROCESS_H_
#define HARNESS_PROCESS_H_

#include <chrono>
#include <string>
#include <vector>

namespace comfreyfold::harness {

// A child process of a test; killed when the object goes.
class Process {
 public:
  // Starts `arguments[0]`. With `wait_for_address`, returns once the child
  // has printed {"listening":"ip:port"}. Throws std::runtime_error.
  Process(const std::vector<std::string>& arguments,
          bool wait_for_address,
          const std::string& error_file = {},
          const std::string& output_file = {});
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const std::string& address() const { return address_; }
  int pid() const { return pid_; }

  void Signal(int number);
  // SIGKILL, and waits for the end.
  void Kill();
  // Waits for the end; the exit code, or -1 when `timeout` passed.
  int Wait(std::chrono::milliseconds timeout);
  // Everything printed until the end (children that end by themselves).
  const std::string& output() const { return output_; }

 private:
  bool ReadMore(std::chrono::milliseconds timeout);

  int pid_ = -1;
  int out_ = -1;
  std::string output_;
  std::string address_;
  bool ended_ = false;
  int code_ = -1;
};

}  // namespace comfreyfold::harness

#endif  // HARNESS_PROCESS_H_
