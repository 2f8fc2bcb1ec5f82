#include "standins/vm_list_service.h"

namespace comfreyfold::standins {

void VmListService::Handle(Fiber& fiber,
                           const HttpRequest& request,
                           HttpExchange& exchange) {
  if (faults_.Handle(request, exchange)) {
    return;
  }
  if (faults_.Trigger("out")) {
    exchange.Abort();
    return;
  }
  if (faults_.Trigger("slow")) {
    fiber.Sleep(faults_.Delay("slow"));
  }
  if (request.method == "PUT") {
    list_ = request.body;
  }
  exchange.Reply(200, "application/json", list_);
}

}  // namespace comfreyfold::standins
