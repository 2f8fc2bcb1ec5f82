#include "clients/vm_list_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "net/json_parser.h"

namespace comfreyfold {

VmListClient::VmListClient(HttpClient& http,
                           std::string address,
                           std::chrono::milliseconds timeout)
    : http_(http), address_(std::move(address)), timeout_(timeout) {}

std::vector<Vm> VmListClient::List(Fiber& fiber) {
  HttpOptions options;
  options.connect_timeout = timeout_;
  options.idle_timeout = timeout_;
  const auto reply = http_.Send(fiber, address_, {"GET", "/vms"}, options);
  const auto list = ParseJson(reply.body);
  if (reply.status != 200 || !list.is_array()) {
    throw std::runtime_error(
        "VM list service did not answer with status 200 and a JSON array");
  }
  std::vector<Vm> out;
  for (const auto& it : list) {
    Vm vm;
    vm.id = it.at("id").get<std::string>();
    vm.role =
        it.value("role", "") == "engine" ? VmRole::kEngine : VmRole::kService;
    vm.address = it.at("address").get<std::string>();
    vm.data_centre = it.value("data_centre", "");
    vm.state = it.value("state", "live") == "leaving" ? VmState::kLeaving
                                                      : VmState::kLive;
    vm.serves = it.value("serves", std::vector<std::string>());
    vm.checks_fencing = it.value("checks_fencing", true);
    out.push_back(std::move(vm));
  }
  return out;
}

}  // namespace comfreyfold
