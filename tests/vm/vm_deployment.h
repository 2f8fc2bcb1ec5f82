#ifndef VM_VM_DEPLOYMENT_H_
#define VM_VM_DEPLOYMENT_H_

#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/storage_list.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/store_client.h"
#include "standins/platform_server.h"
#include "standins/platform_store.h"
#include "vm/vm_daemon.h"

namespace comfreyfold {

// A deployment within one process, on loopback addresses: the platform's store,
// backend servers, storage daemons and front daemons, which serve clients.
class VmDeployment {
 public:
  explicit VmDeployment(Loop& loop);
  ~VmDeployment();

  struct Server {
    std::unique_ptr<standins::PlatformServer> service;
    std::unique_ptr<HttpServer> http;
    std::string address;
    std::string version = "v1";  // Of its software, as it registers it.
  };
  struct Vm {
    VmSettings settings;
    std::unique_ptr<HttpClient> http;
    std::unique_ptr<platform::StoreClient> store;
    std::unique_ptr<VmDaemon> daemon;
  };

  // Writes a configuration with the routes /plain/ (safe), /once/ (unsafe),
  // /stream/ (resumable) and /talk/stream/ (keeps context) of the host "shop",
  // all to the service "app".
  void WriteConfig(std::int64_t version, int retention_seconds = 60);
  // Sets the size of the disks of VMs that are added from now on.
  void SetDiskBytes(std::int64_t bytes) { disk_bytes_ = bytes; }
  // Sets the memory of storage VMs that are added from now on.
  void SetStorageMemory(std::int64_t bytes) { storage_memory_bytes_ = bytes; }
  Server& AddServer(const std::string& id,
                    std::chrono::milliseconds work = {},
                    const std::string& version = "v1");
  void RegisterServer(const std::string& id,
                      const std::string& state = "ready",
                      int started_ms = 1);
  Vm& AddVm(const std::string& name,
            bool has_disk,
            bool first_start = true,
            const std::string& data_centre = "north");
  // Starts a new daemon on a VM whose daemon has stopped, with its disk.
  void RestartVm(Vm& vm);
  // Stops the VM's daemon and waits until it accepts no more connections.
  void StopVm(Fiber& fiber, Vm& vm);

  // Starts three storage VMs and `front_count` VMs that serve clients, and
  // waits until the last of these is ready.
  void StartAll(Fiber& fiber, int front_count = 1);
  bool WaitFor(Fiber& fiber, const std::function<bool()>& condition);
  bool IsReady(Fiber& fiber, const Vm& vm);
  // Number of members in the storage list of the store; 0 while the list is
  // changing.
  std::size_t StorageMemberCount() const;
  bool IsListChanging() const { return List().changing(); }
  std::int64_t StorageListVersion() const { return List().version; }

  struct ClientRequest {
    std::string path = "/plain/x";
    std::string id;
    std::string body;
    std::vector<HttpHeader> headers;
    std::chrono::milliseconds time_limit{4000};
  };
  // Sends a client's request. The status is 0 if there is no complete answer.
  HttpReply Send(Fiber& fiber,
                 const Vm& vm,
                 const ClientRequest& client_request);

  standins::PlatformStore& store() { return store_; }
  Server& server(const std::string& id) { return servers_.at(id); }
  Vm& vm(const std::string& name) { return *vms_.at(name); }
  HttpClient& http() { return http_; }
  Loop& loop() { return loop_; }

 private:
  void StartDaemon(Vm& vm);
  // The storage list of the store; of version 0 while there is none.
  StorageList List() const;

  Loop& loop_;
  HttpClient http_;
  standins::PlatformStore store_;
  HttpServer store_server_;
  std::string store_address_;
  std::map<std::string, Server> servers_;
  std::map<std::string, std::unique_ptr<Vm>> vms_;
  std::filesystem::path folder_;
  std::int64_t disk_bytes_ = 0;
  std::int64_t storage_memory_bytes_ = 100L * 1024 * 1024;
};

// Runs `body` in a coroutine with a new deployment.
void RunWithDeployment(const std::function<void(Fiber&, VmDeployment&)>& body);

}  // namespace comfreyfold

#endif  // VM_VM_WORLD_H_
