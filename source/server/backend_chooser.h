#ifndef SERVER_BACKEND_CHOOSER_H_
#define SERVER_BACKEND_CHOOSER_H_

#include "server/backend_directory.h"
#include "server/call_context.h"

namespace comfreyfold {

// Chooses the backend server of a call. Throws CallError (not run) when
// none serves it.
class BackendChooser {
 public:
  explicit BackendChooser(BackendDirectory& directory)
      : directory_(directory) {}

  Backend& ChooseEngine(const CallContext& context);
  Backend& ChooseService(const CallContext& context);

 private:
  BackendDirectory& directory_;
};

// Counts a call against a server for as long as it lives. Holds the id:
// the directory may drop the server meanwhile.
class InFlight {
 public:
  InFlight(BackendDirectory& directory, Backend& backend);
  InFlight(BackendDirectory& directory, const std::string& id);
  ~InFlight();
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  BackendDirectory& directory_;
  std::string id_;
};

}  // namespace comfreyfold

#endif  // SERVER_BACKEND_CHOOSER_H_
