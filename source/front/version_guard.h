#ifndef FRONT_VERSION_GUARD_H_
#define FRONT_VERSION_GUARD_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/call_error.h"
#include "core/server_pool.h"
#include "core/token_ledger.h"
#include "fleet/decision_log.h"
#include "fleet/fleet_view.h"
#include "front/call.h"
#include "front/server_admission.h"
#include "net/loop.h"
#include "storage/storage_client.h"

namespace comfreyfold {

// Keeps a stream at servers of the software version that began it: what two
// versions write does not fit together.
//
// The version of a stream that clients may resume is on a quorum of disks
// before its first event is passed on, so that any daemon can look it up, also
// after all of them have restarted. It is stored with the reservation of the
// request's tokens, where there is one, before the server is chosen. Only
// where that turns out to be of another version is a record of its own needed.
class VersionGuard {
 public:
  VersionGuard(const FleetView& view,
               StorageClient& storage,
               ServerAdmission& admission,
               DecisionLog& log);

  // Names in `use`, the reservation for `call`, the version that its stream
  // will probably begin at, if it is one that may be resumed.
  void Plan(const Call& call, TokenUse& use);

  // Binds a stream that the client resumes to the version that began it, by
  // `use`, the record of the attempt that began it. Returns an error if that
  // does not tell.
  std::optional<CallError> Resume(Call& call, const TokenUse& use);
  // The same for a request that reserves no tokens: reads the record.
  std::optional<CallError> FindAndResume(Fiber& fiber, Call& call);

  // Whether `call` begins a stream whose version has to be recorded.
  static bool BeginsStream(const Call& call);
  // Whether the server at which `call` runs must be asked which process it is:
  // its registered version may not be the one that it has.
  bool MustCheckProcess(const Call& call) const;
  // Returns the error for a stream whose version no known server has.
  CallError NoServerError() const;

  // Makes sure that the version of the server at `slot`, at which the stream of
  // `call` begins, is recorded. Returns a function that waits for this and
  // returns whether it is; null if nothing has to be waited for.
  std::function<bool(Fiber&)> BeginAt(Call& call, const AcquiredSlot& slot);

 private:
  bool HasOldRegistry() const;

  const FleetView& view_;
  StorageClient& storage_;
  ServerAdmission& admission_;
  DecisionLog& log_;
};

// Whether the client resumes a stream and names the attempt that began it.
bool ContinuesKnownAttempt(const Call& call);

}  // namespace comfreyfold

#endif  // FRONT_VERSION_GUARD_H_
