#ifndef STANDINS_VM_LIST_SERVICE_H_
#define STANDINS_VM_LIST_SERVICE_H_

#include <string>

#include "standins/faults.h"
#include "standins/service.h"

namespace comfreyfold::standins {

// Stand-in for the platform's list of VMs: PUT /vms sets it, GET /vms reads it.
class VmListService : public Service {
 public:
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) override;

 private:
  Faults faults_;
  std::string list_ = "[]";
};

}  // namespace comfreyfold::standins

#endif  // STANDINS_VM_LIST_SERVICE_H_
