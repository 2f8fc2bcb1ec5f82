// A model server sends error answers whose bodies have no end. The daemons
// keep what they read and exceed their memory, for which the platform ends
// them.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
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
// With the sick one, as many as the site has.
constexpr int kSoundServers = 10;
constexpr const char* kSickId = "i-sick";
constexpr int kTokensPerEvent = 8;

// Answers some requests with the head of a 500 and bytes until the caller
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
  // Serves the requests of one channel. Two answers of five are no answers, but
  // bytes without end; the others are sound.
  static void Serve(int channel) {
    std::string in;
    bool open = true;
    while (open) {
      std::size_t end = 0;
      while ((end = in.find("\r\n\r\n")) == std::string::npos) {
        if (!Receive(channel, in)) {
          ::close(channel);
          return;
        }
      }
      const auto head = in.substr(0, end + 2);
      const auto body_bytes = static_cast<std::size_t>(
          std::atol(Header(head, "Content-Length").c_str()));
      in.erase(0, end + 4);
      while (in.size() < body_bytes) {
        if (!Receive(channel, in)) {
          ::close(channel);
          return;
        }
      }
      in.erase(0, body_bytes);
      if (Header(head, "Expect-Instance") != kSickId) {
        open = Send(channel,
                    "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                    "Content-Length: 0\r\nRequest-Id: " +
                        Header(head, "Request-Id") + "\r\n\r\n");
      } else if (runs_++ % 5 < 2) {
        open = Send(channel, "HTTP/1.1 500 Internal Server Error\r\n\r\n");
        const std::string piece(kPieceBytes, '#');
        while (open) {
          open = Send(channel, piece);
        }
      } else {
        open = SendTurnAnswer(channel, head);
      }
    }
    ::close(channel);
  }

  static bool SendTurnAnswer(int channel, const std::string& head) {
    const auto id = Header(head, "Request-Id");
    const auto usage = Header(head, "Token-Usage");
    const int events =
        std::atoi(usage.substr(usage.find(',') + 1).c_str()) / kTokensPerEvent;
    bool open = Send(channel,
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                     "Weight-Versions: 1\r\nServer-Load: 1,0,16\r\n"
                     "Request-Id: " +
                         id + "\r\nResponse-Signature: mac-" + id + "\r\n\r\n");
    for (int n = 1; open && n <= events; ++n) {
      const auto event = "id: " + std::to_string(n) + "\ndata: " + id + "-" +
                         std::to_string(n) + "\n\n";
      char size[24];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      open = Send(channel, size + event + "\r\n");
      std::this_thread::sleep_for(milliseconds(5));
    }
    return open && Send(channel, "0\r\n\r\n");
  }

  static bool Receive(int channel, std::string& in) {
    char buf[4096];
    const auto n = ::recv(channel, buf, sizeof buf, 0);
    if (n > 0) {
      in.append(buf, static_cast<std::size_t>(n));
    }
    return n > 0;
  }

  static bool Send(int channel, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto n = ::send(channel, bytes.data() + done, bytes.size() - done,
                            MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  static std::string Header(const std::string& head, const std::string& name) {
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
      return "";
    }
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
  }

  static inline std::atomic<int> runs_{0};
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
  for (int n = 1; n <= kSoundServers; ++n) {
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
    fleet.Register(kSickId, "models", sick->address());
    record.Write(
        "server i-sick registers; two of five of its answers are a 500 with a "
        "body without end");
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
