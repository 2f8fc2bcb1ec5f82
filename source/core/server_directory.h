#ifndef CORE_SERVER_DIRECTORY_H_
#define CORE_SERVER_DIRECTORY_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/backend_server.h"
#include "core/time_point.h"

namespace comfreyfold {

// The known backend servers, from a registry that can fail. Entries that are
// missing after an outage of the registry may belong to live servers.
class ServerDirectory {
 public:
  // The time that live servers need to register again once the registry is back
  // (users' pages: "within about two seconds").
  static constexpr std::chrono::milliseconds kReregistrationTime{2300};

  // Applies a complete, current list from the registry.
  void Apply(const std::vector<BackendServer>& listed, TimePoint now);

  // Records that the server at `address` says that it is leaving, which the
  // registry may tell later or never. Returns false if this is known.
  bool MarkLeaving(const std::string& address, TimePoint now);

  // Records that the registry could not be read.
  void RegistryLost();

  const std::map<std::string, BackendServer>& servers() const {
    return servers_;
  }
  // Whether a list has been applied.
  bool known() const { return known_; }

 private:
  // Adds `listed`, as leaving if this start of it has been marked so.
  void Add(const BackendServer& listed);
  // Removes servers whose address a listed server with another id uses.
  void RemoveReusedAddresses(const std::vector<BackendServer>& listed);

  std::map<std::string, BackendServer> servers_;
  struct LeavingStart {
    std::chrono::milliseconds started{0};
    TimePoint marked_at{};
  };
  // Starts of servers that say they are leaving, by id. Their registrations may
  // be missing for a while, and come back.
  std::map<std::string, LeavingStart> leaving_starts_;
  bool known_ = false;
  bool registry_lost_ = false;
  TimePoint reregistered_by_{};
};

}  // namespace comfreyfold

#endif  // CORE_SERVER_DIRECTORY_H_
