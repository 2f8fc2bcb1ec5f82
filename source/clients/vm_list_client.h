#ifndef CLIENTS_VM_LIST_CLIENT_H_
#define CLIENTS_VM_LIST_CLIENT_H_

#include <chrono>
#include <string>
#include <vector>

#include "net/http_client.h"

namespace comfreyfold {

enum class VmRole { kEngine, kService };
enum class VmState { kLive, kLeaving };

// One backend server on the platform's list, which lags behind reality.
struct Vm {
  std::string id;
  VmRole role = VmRole::kEngine;
  std::string address;  // ip:port
  std::string data_centre;
  VmState state = VmState::kLive;
  std::vector<std::string> serves;  // Models, or tools and services.
  bool checks_fencing = true;       // Refuses orders with an old number.
};

class VmListClient {
 public:
  VmListClient(HttpClient& http,
               std::string address,
               std::chrono::milliseconds timeout);

  // Throws HttpFailure, or std::runtime_error on an unreadable answer.
  std::vector<Vm> List(Fiber& fiber);

 private:
  HttpClient& http_;
  std::string address_;
  std::chrono::milliseconds timeout_;
};

}  // namespace comfreyfold

#endif  // CLIENTS_VM_LIST_CLIENT_H_
