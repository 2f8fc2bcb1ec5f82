#ifndef CORE_CLIENT_CALL_H_
#define CORE_CLIENT_CALL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_server.h"

namespace comfreyfold {

// A part of a prompt. Prompts share a part when its id is the same.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

// The properties of a client's request from its header fields.
struct ClientCall {
  std::string request_id;  // A retry by the client has a different one.
  std::string host;
  std::optional<std::chrono::milliseconds> time_left;
  std::string program;
  std::string session;  // A sequence of turns of a program.
  // Time left for the whole program.
  std::optional<std::chrono::milliseconds> finish_in;
  std::optional<std::int64_t> token_budget;  // For the whole program.
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::optional<std::int64_t> expected_output_tokens;
  std::string previous_turn;  // Request id of the previous turn, or empty.
  std::string last_event_id;  // Set when a client resumes a stream.
  // Request id of the attempt that brought the first event of the stream that
  // the client resumes; empty if it does not tell.
  std::string resumed_request;
  std::string affinity_key;
  std::vector<PromptPart> prompt;
};

// The status and the header fields of a server's response.
struct ServerAnswer {
  int status = 0;
  std::string request_id;
  bool is_signed = false;
  bool not_run = false;  // The server says that it did not run the request.
  bool leaving = false;  // The server takes no new requests from now on.
  std::optional<ServerLoad> load;
  // Whether the answer is the server's own, so that a limit that it does not
  // name is over.
  bool tells_limit = false;
  // Requests per second that the server takes from all daemons together.
  std::optional<double> limit_per_second;
  std::string unreadable_limit;  // The text of a limit that cannot be read.
};

}  // namespace comfreyfold

#endif  // CORE_CLIENT_CALL_H_
