#ifndef CORE_SERVER_DIRECTORY_H_
#define CORE_SERVER_DIRECTORY_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/backend_server.h"
#include "core/time_point.h"

namespace comfreyfold {

// Which backend servers there are, from a registry that has outages: entries
// that vanish while it is out may belong to servers that are alive.
class ServerDirectory {
 public:
  // From the registry's return until servers that live are registered again
  // (users' pages: "within about two seconds").
  static constexpr std::chrono::milliseconds kRegistrySettles{2300};

  // A whole and current list of the registry.
  void Apply(const std::vector<BackendServer>& listed, TimePoint now);

  // The registry could not be read.
  void RegistryLost();

  const std::map<std::string, BackendServer>& servers() const {
    return servers_;
  }
  bool known() const { return known_; }

 private:
  void DropReusedAddresses(const std::vector<BackendServer>& listed);

  std::map<std::string, BackendServer> servers_;
  bool known_ = false;
  bool lost_ = false;
  TimePoint settled_at_{};
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_DIRECTORY_H_
