#ifndef SERVER_BACKEND_CHOOSER_H_
#define SERVER_BACKEND_CHOOSER_H_

#include <memory>
#include <set>
#include <string>

#include "server/call_context.h"
#include "server/dispatch_queue.h"

namespace comfreyfold {

// What a model turn asks of an engine.
struct TurnSize {
  std::int64_t prompt_tokens = 0;
  std::int64_t seen_tokens = 0;  // Of them, in the turns before.
  std::int64_t exported_tokens = 0;
  std::int64_t answer_tokens = 0;  // At most.
};

// Gives calls a place on a backend server. Throws CallError (not run) when
// none serves them, and when they are refused for load.
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

  // `avoid` names the servers that have failed the call.
  std::unique_ptr<ServerSlot> ChooseEngine(Fiber& fiber,
                                           const CallContext& context,
                                           const TurnSize& size,
                                           const std::set<std::string>& avoid);
  // A place on `engine`, where the call may be running already.
  std::unique_ptr<ServerSlot> Rejoin(Fiber& fiber,
                                     const CallContext& context,
                                     const std::string& engine);
  std::unique_ptr<ServerSlot> ChooseService(Fiber& fiber,
                                            const CallContext& context,
                                            const std::set<std::string>& avoid);

 private:
  ScheduledCall CallOf(const CallContext& context,
                       const std::set<std::string>& avoid) const;

  BackendDirectory& directory_;
  DispatchQueue& engines_;
  DispatchQueue& services_;
  const DecisionSettings& settings_;
};

}  // namespace comfreyfold

#endif  // SERVER_BACKEND_CHOOSER_H_
