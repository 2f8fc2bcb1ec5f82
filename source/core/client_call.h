#ifndef CORE_CLIENT_CALL_H_
#define CORE_CLIENT_CALL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_server.h"

namespace comfreyfold {

// A part of a prompt that other prompts may share.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

// What a client says of its request beside method, path and body.
struct ClientCall {
  std::string request_id;  // Of this attempt; a retry has another.
  std::string host;
  std::optional<std::chrono::milliseconds> time_left;
  std::string program;
  std::string session;  // One line of turns of a program.
  std::optional<std::chrono::milliseconds> finish_in;  // Of the whole program.
  std::optional<std::int64_t> token_budget;            // Of the whole program.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::optional<std::int64_t> expected_output_tokens;
  std::string previous_turn;  // Request id of the turn before, or empty.
  std::string last_event_id;  // Set when a client resumes a stream.
  std::string affinity_key;
  std::vector<PromptPart> prompt;
};

// What a server says with an answer beside status and body.
struct ServerAnswer {
  int status = 0;
  std::string request_id;
  bool is_signed = false;
  bool not_run = false;  // The server says that it did not run the request.
  std::optional<ServerLoad> load;
};

}  // namespace comfreyfold

#endif  // CORE_CLIENT_CALL_H_
