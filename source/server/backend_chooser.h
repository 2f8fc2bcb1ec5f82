#ifndef SERVER_BACKEND_CHOOSER_H_
#define SERVER_BACKEND_CHOOSER_H_

#include <memory>
#include <set>
#include <string>

#include "server/call_context.h"
#include "server/dispatch_queue.h"

namespace comfreyfold {

// The size of a model turn, used to choose an engine.
struct TurnSize {
  std::int64_t prompt_tokens = 0;
  // The prompt tokens that earlier turns of the program contained.
  std::int64_t seen_tokens = 0;
  // The tokens that any engine can import from a copy.
  std::int64_t exported_tokens = 0;
  std::int64_t answer_tokens = 0;  // Upper bound.
};

// Assigns calls to backend servers. The functions wait for a slot and throw
// CallError (not run) when no server offers the target, when the call is
// refused because of load, or when no slot becomes free in time.
class BackendChooser {
 public:
  BackendChooser(BackendDirectory& directory,
                 DispatchQueue& engines,
                 DispatchQueue& services,
                 const DecisionSettings& settings)
      : directory_(directory),
        engines_(engines),
        services_(services),
        settings_(settings) {}

  // `avoid` contains the servers that have already failed the call.
  std::unique_ptr<ServerSlot> ChooseEngine(Fiber& fiber,
                                           const CallContext& context,
                                           const TurnSize& size,
                                           const std::set<std::string>& avoid);
  // Returns a slot on `engine`, where the call may already be running.
  std::unique_ptr<ServerSlot> ResumeOnEngine(Fiber& fiber,
                                             const CallContext& context,
                                             const std::string& engine);
  std::unique_ptr<ServerSlot> ChooseService(Fiber& fiber,
                                            const CallContext& context,
                                            const std::set<std::string>& avoid);

 private:
  ScheduledCall BuildScheduledCall(const CallContext& context,
                                   const std::set<std::string>& avoid) const;

  BackendDirectory& directory_;
  DispatchQueue& engines_;
  DispatchQueue& services_;
  const DecisionSettings& settings_;
};

}  // namespace comfreyfold

#endif  // SERVER_BACKEND_CHOOSER_H_
