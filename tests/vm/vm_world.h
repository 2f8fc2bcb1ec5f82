#ifndef VM_VM_WORLD_H_
#define VM_VM_WORLD_H_

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "standins/platform_server.h"
#include "standins/platform_store.h"
#include "vm/vm_daemon.h"

namespace comfreyfold {

// A deployment in one process: the platform's store, backend servers, and
// daemons on VMs with and without disks, all on loopback.
class VmWorld {
 public:
  explicit VmWorld(Loop& loop);
  ~VmWorld();

  struct Server {
    std::unique_ptr<standins::PlatformServer> service;
    std::unique_ptr<HttpServer> http;
    std::string address;
  };
  struct Vm {
    VmSettings settings;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<platform::StoreClient> store;
    std::unique_ptr<VmDaemon> daemon;
  };

  // Routes /plain/ (safe), /once/ (unsafe), /stream/ (resumable) and
  // /talk/stream/ (keeps context) of host "shop", all to service "app".
  void WriteConfig(std::int64_t version, int retention_seconds = 60);
  Server& AddServer(const std::string& id, std::chrono::milliseconds work = {});
  void Register(const std::string& id, const std::string& state = "ready");
  Vm& AddVm(const std::string& name,
            bool disk,
            bool first_start = true,
            const std::string& data_centre = "north");
  // The VM takes part in nothing any more.
  void Cut(Vm& vm);

  // Three storage VMs and as many that serve clients, all ready.
  void StartAll(Fiber& fiber, int clients = 1);
  bool WaitFor(Fiber& fiber, const std::function<bool()>& what);
  bool Ready(Fiber& fiber, const Vm& vm);
  // Storage members that the store's list has, or none while it changes.
  std::size_t Members() const;

  struct Ask {
    std::string path = "/plain/x";
    std::string id;
    std::string body;
    std::vector<HttpHeader> headers;
    std::chrono::milliseconds time{4000};
  };
  // A client's request; an answer that breaks off has status 0.
  HttpReply Send(Fiber& fiber, const Vm& vm, const Ask& ask);

  standins::PlatformStore& store() { return store_; }
  Server& server(const std::string& id) { return servers_.at(id); }
  Vm& vm(const std::string& name) { return *vms_.at(name); }
  HttpClient& http() { return http_; }

 private:
  Loop& loop_;
  HttpClient http_;
  standins::PlatformStore store_;
  HttpServer store_server_;
  std::string store_address_;
  std::map<std::string, Server> servers_;
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::filesystem::path folder_;
  int next_port_ = 0;
};

// Runs `body` in a coroutine of a world of its own.
void InVmWorld(const std::function<void(Fiber&, VmWorld&)>& body);

}  // namespace comfreyfold

#endif  // VM_VM_WORLD_H_
