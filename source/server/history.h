#ifndef SERVER_HISTORY_H_
#define SERVER_HISTORY_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "core/lane_state.h"

namespace comfreyfold {

// Returns the messages of a program's completed model turns, answers included,
// as a JSON array in the format of chat completions. `program` may be null.
nlohmann::json ConversationMessages(const ProgramState* program);

// Returns the messages of `sent` that are not in `known`. A client may send the
// whole conversation with each turn, or only the new messages.
nlohmann::json NewMessages(const nlohmann::json& known,
                           const nlohmann::json& sent);

// Returns everything that the journal holds about a program, for its caller.
nlohmann::json ProgramHistory(const ProgramState& program);

}  // namespace comfreyfold

#endif  // SERVER_HISTORY_H_
