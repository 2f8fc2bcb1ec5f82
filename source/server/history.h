#ifndef SERVER_HISTORY_H_
#define SERVER_HISTORY_H_

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "core/lane_state.h"

namespace comfreyfold {

// The messages of a program's model turns so far, answers included, as a
// JSON array in the form of chat completions. Null: no program yet.
nlohmann::json MessagesOf(const ProgramState* program);

// The part of `sent` that the history does not have yet: an ordinary client
// sends the whole conversation each time, a slim one only what is new.
nlohmann::json NewMessages(const nlohmann::json& known,
                           const nlohmann::json& sent);

// Everything the journal knows of a program, for its caller.
nlohmann::json HistoryOf(const ProgramState& program);

}  // namespace comfreyfold

#endif  // SERVER_HISTORY_H_
