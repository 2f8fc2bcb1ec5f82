#ifndef REVIEW_HARNESS_FLEET_H_
#define REVIEW_HARNESS_FLEET_H_

#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "harness/process.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "standins/platform_store.h"

namespace comfreyfold::review {

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Thrown when a case cannot run.
class CannotRun : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Writes the record of a case: one line for each message, with the time since
// the start in ms.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  std::chrono::milliseconds Elapsed() const;

 private:
  std::ofstream out_;
  std::chrono::steady_clock::time_point start_;
};

// A machine of the deployment with one daemon.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  bool has_disk = false;
  int memory_mb = 110;
  std::unique_ptr<harness::Process> process;
};

// One run of a request at a server.
struct ServerRun {
  std::string server;
  std::string request_id;
  std::string body;
};

// A small deployment on loopback addresses: daemons as separate processes, and
// stand-ins of the platform's store and of backend servers in this process.
class Fleet {
 public:
  struct Options {
    double retention_s = 30;
    int event_stride = 8;
    std::chrono::milliseconds aim{110000};
  };
  Fleet(Loop& loop, Record& record, const Options& options);
  ~Fleet();

  Machine& AddDisk(const std::string& name, const std::string& zone);
  Machine& AddFront(const std::string& name,
                    const std::string& zone,
                    int memory_mb = 110);
  // Starts the daemon with the command of the deploy file. `bootstrap` holds
  // only for the first start of the whole system.
  void Start(Machine& machine, bool bootstrap);
  void Kill(Machine& machine, const std::string& reason);
  // Empties the disk of a machine that does not run.
  void Wipe(const Machine& machine);

  // Adds a sound server of `service` ("models" or "tools").
  void AddServer(const std::string& id, const std::string& service);
  // Registers a server that the case provides.
  void Register(const std::string& id,
                const std::string& service,
                const std::string& address);
  // Writes the desired state.
  void WriteConfig();

  // Waits until the storage list has `disks` members and is not changing.
  bool AwaitMembers(Fiber& fiber,
                    std::size_t disks,
                    std::chrono::milliseconds timeout);
  // Waits until the daemon answers 200 to the readiness check.
  bool AwaitReady(Fiber& fiber,
                  const Machine& machine,
                  std::chrono::milliseconds timeout);
  // Numbers of members of the current and of the next set of storage disks.
  std::pair<std::size_t, std::size_t> ListSizes();
  // Whether the process has ended by itself.
  static bool HasEnded(const Machine& machine);
  // How the process ended by itself, such as "signal 11"; empty if it runs.
  static std::string EndOf(const Machine& machine);
  // Resident memory of the process in KiB, without that of files; 0 if it does
  // not run.
  static long ResidentKib(const Machine& machine);

  // One client attempt on its own channel. `status` 0: no complete answer.
  struct Answer {
    int status = 0;
    int events = 0;
    std::string body;  // What arrived.
    std::string data;  // Data of the events, each followed by a line feed.
    std::string failure;
    std::chrono::milliseconds retry_after{0};
    bool complete = false;
  };
  struct Turn {
    std::string id;
    std::string program;
    std::string session;
    std::string previous;
    std::string input;
    int max_tokens = 32;
    int budget = 100000;
    std::chrono::milliseconds time_limit{4000};
  };
  // The aim of a program is Options::aim after its first turn.
  Answer SendTurn(Fiber& fiber, const Machine& front, const Turn& turn);
  Answer Send(Fiber& fiber,
              const Machine& front,
              const HttpRequest& request,
              std::chrono::milliseconds timeout);

  standins::PlatformStore& store() { return store_; }
  const std::vector<ServerRun>& runs() const { return runs_; }
  std::string ClientAddress(const Machine& machine) const;
  Record& record() { return record_; }
  Loop& loop() { return loop_; }
  // The first three numbers of the deployment's addresses and a dot.
  const std::string& network() const { return network_; }

 private:
  struct Server {
    std::string id;
    std::unique_ptr<HttpServer> http;
  };
  Machine& Add(const std::string& name, const std::string& zone, bool has_disk);
  void ServeRequest(const std::string& id,
                    Fiber& fiber,
                    const HttpRequest& request,
                    HttpExchange& exchange);
  void WriteSettings(const Machine& machine, bool bootstrap) const;
  void WriteRegistration(const std::string& id,
                         const std::string& service,
                         const std::string& address,
                         int seq);

  Loop& loop_;
  Record& record_;
  Options options_;
  std::string folder_;
  std::string network_;
  HttpClient http_;
  standins::PlatformStore store_;
  HttpServer store_server_;
  std::string store_address_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<Server> servers_;
  std::vector<ServerRun> runs_;
  // When each program began.
  std::map<std::string, std::chrono::milliseconds> program_starts_;
};

// Runs `body` in a coroutine and returns its result as the exit code. The
// record goes to the file that the variable RECORD names; without the
// disruption if TROUBLE is 0.
int RunCase(
    const Fleet::Options& options,
    const std::function<int(Fiber&, Fleet&, Record&, bool trouble)>& body);

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_FLEET_H_
