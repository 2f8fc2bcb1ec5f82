#ifndef CORE_TOKEN_BOUND_H_
#define CORE_TOKEN_BOUND_H_

#include <cstdint>
#include <string>

#include "core/lane_state.h"

namespace comfreyfold {

// The text that a model turn adds to the history of its program.
struct AddedText {
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

// Returns an upper bound of the prompt tokens of a turn of `model` that adds
// `added` to `program`. `program` is null for the first call.
std::int64_t PromptTokenBound(const ProgramState* program,
                              const std::string& model,
                              const AddedText& added);

}  // namespace comfreyfold

#endif  // CORE_TOKEN_BOUND_H_
