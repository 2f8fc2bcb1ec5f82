#ifndef CLIENTS_VM_LIST_CLIENT_H_
#define CLIENTS_VM_LIST_CLIENT_H_

#include <chrono>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace comfreyfold {

enum class VmRole { kEngine, kService };
enum class VmState { kLive, kLeaving };

// One backend server as listed by the platform. The list may lag behind the
// actual state of the VMs.
struct Vm {
  std::string id;
  VmRole role = VmRole::kEngine;
  std::string address;  // ip:port
  std::string data_centre;
  VmState state = VmState::kLive;
  std::vector<std::string> serves;  // Models, or tools and services.
  bool checks_fencing = true;       // Refuses orders older than the last one.
};

// Client of the platform's list of VMs.
class VmListClient {
 public:
  VmListClient(HttpClient& http,
               std::string address,
               std::chrono::milliseconds timeout);

  // Throws HttpFailure, or another std::exception if the reply is not a valid
  // list.
  std::vector<Vm> List(Fiber& fiber);

 private:
  HttpClient& http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace comfreyfold

#endif  // CLIENTS_VM_LIST_CLIENT_H_
