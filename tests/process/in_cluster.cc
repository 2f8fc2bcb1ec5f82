#include "process/in_cluster.h"

#include <exception>

namespace comfreyfold::process {

harness::ClusterOptions PatientDaemons() {
  harness::ClusterOptions out;
  out.settings["platform"] = "timeout = 20s\n";
  out.settings["lanes"] = "commit_timeout = 60s\ndispatch_window = 60s\n";
  return out;
}

void InCluster(const harness::ClusterOptions& options,
               const std::function<void(Fiber&, harness::Cluster&)>& body) {
  std::exception_ptr error;
  std::string stray;
  Loop loop;
  loop.OnError([&stray](const char* what) { stray = what; });
  loop.Spawn([&](Fiber& fiber) {
    try {
      harness::Cluster cluster(fiber, options);
      cluster.WaitReady();
      cluster.Apply({harness::QuoteContract(), harness::KioskContract()});
      body(fiber, cluster);
    } catch (...) {
      error = std::current_exception();
    }
    loop.Stop();
  });
  loop.Run();
  if (error) {
    std::rethrow_exception(error);
  }
  if (!stray.empty()) {
    throw std::runtime_error("a coroutine failed: " + stray);
  }
}

}  // namespace comfreyfold::process
