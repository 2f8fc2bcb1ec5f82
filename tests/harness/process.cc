#include "harness/process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <stdexcept>

extern char** environ;

namespace comfreyfold::harness {

namespace {
constexpr std::chrono::seconds kStartTimeout{30};
constexpr std::chrono::milliseconds kPollInterval{100};
constexpr char kListening[] = "{\"listening\":\"";
}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 bool wait_for_address,
                 const std::string& error_file,
                 const std::string& output_file) {
  std::array<int, 2> pipe_fds{};
  if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error(std::strerror(errno));
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
  const auto append = [&actions](int stream, const std::string& file) {
    if (!file.empty()) {
      posix_spawn_file_actions_addopen(&actions, stream, file.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
  };
  append(STDERR_FILENO, error_file);
  append(STDOUT_FILENO, output_file);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const auto& it : arguments) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const int error =
      posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_fds[1]);
  stdout_fd_ = pipe_fds[0];
  if (error != 0) {
    throw std::runtime_error(arguments[0] + ": " + std::strerror(error));
  }
  const auto deadline = std::chrono::steady_clock::now() + kStartTimeout;
  while (wait_for_address && address_.empty()) {
    const bool open = ReadMore(kPollInterval);
    const auto start = output_.find(kListening);
    if (start != std::string::npos) {
      const auto from = start + sizeof(kListening) - 1;
      const auto end = output_.find('"', from);
      if (end != std::string::npos) {
        address_ = output_.substr(from, end - from);
      }
    }
    if (address_.empty() &&
        (!open || std::chrono::steady_clock::now() > deadline)) {
      Kill();
      throw std::runtime_error(arguments[0] +
                               " did not print its address: " + output_);
    }
  }
}

Process::~Process() {
  Kill();
  close(stdout_fd_);
}

bool Process::ReadMore(std::chrono::milliseconds timeout) {
  pollfd fd{stdout_fd_, POLLIN, 0};
  if (poll(&fd, 1, static_cast<int>(timeout.count())) <= 0) {
    return true;
  }
  std::array<char, 4096> buf;
  const auto n = read(stdout_fd_, buf.data(), buf.size());
  if (n <= 0) {
    return false;
  }
  output_.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

void Process::Signal(int number) {
  if (!ended_) {
    kill(pid_, number);
  }
}

void Process::Kill() {
  if (!ended_) {
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    ended_ = true;
  }
}

int Process::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!ended_) {
    const bool open = ReadMore(kPollInterval);
    int status = 0;
    if (waitpid(pid_, &status, open ? WNOHANG : 0) == pid_) {
      ended_ = true;
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      while (ReadMore(std::chrono::milliseconds(0)) &&
             poll(nullptr, 0, 0) == 0) {
        pollfd fd{stdout_fd_, POLLIN, 0};
        if (poll(&fd, 1, 0) <= 0) {
          break;
        }
      }
      return exit_code_;
    }
    if (std::chrono::steady_clock::now() > deadline) {
      return -1;
    }
  }
  return exit_code_;
}

}  // namespace comfreyfold::harness
