// A model server sends error answers whose bodies have no end. The daemons
// keep what they read and exceed their memory, for which the platform ends
// them.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "review/harness/fleet.h"

namespace comfreyfold::review {
namespace {

using std::chrono::milliseconds;

constexpr int kFronts = 3;
constexpr int kMemoryMb = 110;  // `memory_mb` of the front machines.
constexpr int kClientsPerFront = 12;
constexpr milliseconds kDay{75000};
constexpr std::size_t kPieceBytes = 65536;

// Answers each request with the head of a 500 and bytes until the caller
// closes the channel. Runs in threads of its own.
class SickServer {
 public:
  explicit SickServer(const std::string& ip) {
    fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof address;
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(fd_, 64) != 0 ||
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
      throw CannotRun("the server without end cannot listen");
    }
    address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
    std::thread([fd = fd_] {
      for (;;) {
        const int channel = ::accept(fd, nullptr, nullptr);
        if (channel < 0) {
          return;
        }
        std::thread([channel] { Serve(channel); }).detach();
      }
    }).detach();
  }
  const std::string& address() const { return address_; }

 private:
  static void Serve(int channel) {
    std::string head;
    char buf[4096];
    while (head.find("\r\n\r\n") == std::string::npos) {
      const auto n = ::recv(channel, buf, sizeof buf, 0);
      if (n <= 0) {
        ::close(channel);
        return;
      }
      head.append(buf, static_cast<std::size_t>(n));
    }
    const std::string answer = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
    const std::string piece(kPieceBytes, '#');
    bool open = ::send(channel, answer.data(), answer.size(), MSG_NOSIGNAL) > 0;
    while (open) {
      open = ::send(channel, piece.data(), piece.size(), MSG_NOSIGNAL) > 0;
    }
    ::close(channel);
  }

  int fd_ = -1;
  std::string address_;
};

int Run(Fiber& fiber, Fleet& fleet, Record& record, bool trouble) {
  std::vector<Machine*> machines;
  std::vector<Machine*> fronts;
  for (const char* it : {"a", "b", "c"}) {
    machines.push_back(
        &fleet.AddDisk(std::string("disk-") + it, std::string("mit-") + it));
  }
  for (const char* it : {"a", "b", "c"}) {
    fronts.push_back(&fleet.AddFront(std::string("front-") + it,
                                     std::string("mit-") + it, kMemoryMb));
    machines.push_back(fronts.back());
  }
  fleet.WriteConfig();
  for (int n = 1; n <= 4; ++n) {
    fleet.AddServer("i-model-" + std::to_string(n), "models");
  }
  for (auto* it : machines) {
    fleet.Start(*it, true);
  }
  if (!fleet.AwaitMembers(fiber, 3, milliseconds(15000))) {
    throw CannotRun("the disks did not form a list");
  }
  for (auto* it : fronts) {
    if (!fleet.AwaitReady(fiber, *it, milliseconds(15000))) {
      throw CannotRun("a daemon did not become ready");
    }
  }
  fiber.Sleep(milliseconds(1500));

  std::unique_ptr<SickServer> sick;
  if (trouble) {
    sick = std::make_unique<SickServer>(fleet.network() + "252");
    fleet.Register("i-sick", "models", sick->address());
    record.Write(
        "server i-sick registers; it answers 500 with a body without "
        "end");
  }

  // The platform ends a process that uses more than its memory, and starts it
  // again after a short delay.
  bool over = false;
  std::map<std::string, int> ends;
  std::map<std::string, long> peaks;
  for (auto* it : fronts) {
    fleet.loop().Spawn([&, it](Fiber& platform) {
      while (!over) {
        const auto kib = Fleet::ResidentKib(*it);
        peaks[it->name] = std::max(peaks[it->name], kib);
        const bool too_large = kib > kMemoryMb * 1024L;
        if (too_large) {
          fleet.Kill(*it, "uses " + std::to_string(kib) + " KiB of " +
                              std::to_string(kMemoryMb * 1024L));
        }
        if (too_large || Fleet::HasEnded(*it)) {
          ++ends[it->name];
          platform.Sleep(milliseconds(300));
          fleet.Start(*it, false);
        }
        platform.Sleep(milliseconds(5));
      }
    });
  }
  const auto end = record.Elapsed() + kDay;
  int running = 0;
  int answered = 0;
  int unanswered = 0;
  const auto enough = [&] {
    return std::count_if(ends.begin(), ends.end(),
                         [](const auto& it) { return it.second >= 3; }) >= 2;
  };
  for (int client = 0; client < kFronts * kClientsPerFront; ++client) {
    ++running;
    fleet.loop().Spawn([&, client](Fiber& other) {
      auto& front = *fronts[static_cast<std::size_t>(client % kFronts)];
      for (int n = 0; record.Elapsed() < end && !enough(); ++n) {
        Fleet::Turn turn;
        turn.id = "t-" + std::to_string(client) + "-" + std::to_string(n);
        turn.program = "p-" + turn.id;
        turn.session = turn.program;
        turn.input = "hello\n";
        const auto answer = fleet.SendTurn(other, front, turn);
        ++(answer.complete ? answered : unanswered);
        other.Sleep(milliseconds(200));
      }
      --running;
    });
  }
  while (running > 0) {
    fiber.Sleep(milliseconds(50));
  }
  over = true;
  fiber.Sleep(milliseconds(700));
  for (const auto& [name, kib] : peaks) {
    record.Write(name + ": peak of memory " + std::to_string(kib) +
                 " KiB, ended by itself " + std::to_string(ends[name]) +
                 " times");
  }
  record.Write("turns answered " + std::to_string(answered) +
               ", without a complete answer " + std::to_string(unanswered));
  // Of six machines a tenth is less than two, so two are needed.
  return enough() ? kRuleBroken : kRuleHeld;
}

}  // namespace
}  // namespace comfreyfold::review

int main() {
  return comfreyfold::review::RunCase({}, comfreyfold::review::Run);
}
