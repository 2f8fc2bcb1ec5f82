#ifndef HARNESS_PROCESS_H_
#define HARNESS_PROCESS_H_

#include <chrono>
#include <string>
#include <vector>

namespace comfreyfold::harness {

// A child process; the destructor kills it.
class Process {
 public:
  // Starts `arguments[0]`. With `wait_for_address`, returns once the child
  // has printed {"listening":"ip:port"}. Appends standard error to
  // `error_file` and standard output to `output_file` where they are set.
  // Throws std::runtime_error if the child does not start.
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
  // Sends SIGKILL and waits until the process has ended.
  void Kill();
  // Waits until the process has ended and returns its exit code; -1 on
  // timeout or if a signal ended it.
  int Wait(std::chrono::milliseconds timeout);
  // Standard output as read so far; complete once Wait has returned the exit
  // code.
  const std::string& output() const { return output_; }

 private:
  // Appends available output to output_; false at end of file.
  bool ReadMore(std::chrono::milliseconds timeout);

  int pid_ = -1;
  int stdout_fd_ = -1;
  std::string output_;
  std::string address_;
  bool ended_ = false;
  int exit_code_ = -1;
};

}  // namespace comfreyfold::harness

#endif  // HARNESS_PROCESS_H_
