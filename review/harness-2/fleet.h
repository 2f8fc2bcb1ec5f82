#ifndef REVIEW_HARNESS_2_FLEET_H_
#define REVIEW_HARNESS_2_FLEET_H_

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harness/process.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "record.h"
#include "standins/platform_store.h"

namespace comfreyfold::review {

// A route of the desired state; all routes belong to the host "shop.example".
struct RouteSpec {
  std::string prefix;
  std::string type;
  std::string service;
  bool retain_context = false;
  bool resumable = false;
  int timeout_ms = 4000;
  int max_attempts = 1;
  double retention_s = 60;
  int priority = 1;
  int target_latency_ms = 250;
};

struct ServiceSpec {
  std::string name;
  bool is_engine = false;
  int slots = 16;
};

// A backend server, in a process of its own.
struct ServerSpec {
  std::string id;
  std::string service;
  std::string zone;
  std::string version = "v1";
  int slots = 16;
  // Further arguments of the stand-in.
  std::vector<std::string> arguments;
};

// What a client got for one attempt.
struct Answer {
  int status = 0;  // 0: the channel ended before the head of an answer.
  bool complete = false;
  std::string signature;
  std::string server_leaving;
  std::string retry_after;
  std::vector<std::string> events;  // Data of the complete events.
  std::string last_event_id;
  std::string body;
  std::string failure;
};

struct Attempt {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string body;
  std::vector<HttpHeader> headers;
  std::chrono::milliseconds time_limit{4000};
};

// A small deployment: the platform's store in this process, and the daemons and
// servers as processes of their own, each machine at a loopback address.
class Fleet {
 public:
  struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    std::string data_folder;  // Empty: a front machine.
    std::string front;        // Address for clients.
    std::string ready;
    std::string control;
    std::string internal;
    bool booted = false;
    std::unique_ptr<harness::Process> process;
  };
  struct Server {
    ServerSpec spec;
    std::string address;
    std::string state = "ready";
    std::int64_t born = 0;
    int seq = 0;
    bool registers = true;
    std::unique_ptr<harness::Process> process;
  };

  Fleet(Loop& loop, Record& record);
  // Ends all processes and removes the temporary folder. Coroutines that have
  // not ended may still refer to this object, so that it is never destroyed.
  void EndProcesses();

  // One front machine and one storage machine in each zone.
  void AddMachines(const std::vector<std::string>& zones,
                   int fronts_per_zone = 1);
  // A further storage machine, which is not started yet.
  Machine& AddStorage(const std::string& zone, const std::string& name);
  // Removes all files of a machine whose process has ended.
  static void Wipe(const Machine& machine);
  void WriteConfig(int version,
                   const std::vector<RouteSpec>& routes,
                   const std::vector<ServiceSpec>& services);
  Server& AddServer(const ServerSpec& spec);
  // Starts the server's process, at its earlier address if it had one, and
  // registers it.
  void StartServer(Server& server);
  // Writes the server's entry as it is now.
  void Register(Server& server);

  // Starts all machines and waits until every front machine is ready and the
  // storage machines are members, and until traffic may start: 10 s after the
  // machines. Returns false if that takes too long.
  bool Start(Fiber& fiber);
  void StartMachine(Machine& machine);
  bool IsReady(Fiber& fiber, const Machine& machine);
  // Names of the storage machines in the order of the list of members.
  std::vector<std::string> MembersInOrder() const;

  Answer Send(Fiber& fiber, const Machine& front, const Attempt& attempt);

  Machine& machine(const std::string& name) { return *machines_.at(name); }
  Machine& FrontOf(const std::string& zone, int n = 1);
  Machine& StorageOf(const std::string& zone);
  Server& server(const std::string& id) { return *servers_.at(id); }
  std::map<std::string, std::unique_ptr<Server>>& servers() { return servers_; }
  standins::PlatformStore& store() { return store_; }
  Loop& loop() { return loop_; }
  Record& record() { return record_; }
  const std::filesystem::path& folder() const { return folder_; }

 private:
  std::string NextIp();
  std::string FreeAddressAt(const std::string& ip);
  void WriteSettings(const Machine& machine) const;
  void Heartbeat(Fiber& fiber);

  Loop& loop_;
  Record& record_;
  HttpClient http_;
  standins::PlatformStore store_;
  HttpServer store_server_;
  std::string store_address_;
  std::filesystem::path folder_;
  int next_ip_ = 0;
  std::vector<std::string> zones_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
};

// The value of Prompt-Prefix for a prompt of 100 tokens, 60 of which all
// requests share.
std::string PromptParts(const std::string& session);

// How long a client waits before it tries again: at least `pause`, and as long
// as the answer asks for, up to a third of the time that it has left.
std::chrono::milliseconds PauseAfter(const Answer& answer,
                                     std::chrono::milliseconds pause,
                                     std::chrono::milliseconds time_left);

// Runs `body` in a coroutine and returns its result.
int RunInLoop(const std::function<int(Fiber&, Loop&)>& body);

// Whether the run is to have its disruption (TROUBLE is not 0).
bool HasTrouble();

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_2_FLEET_H_
