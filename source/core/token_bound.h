#ifndef CORE_TOKEN_BOUND_H_
#define CORE_TOKEN_BOUND_H_

#include <cstdint>
#include <string>

#include "core/lane_state.h"

namespace comfreyfold {

// What a model turn adds to its program's history.
struct AddedText {
  std::size_t bytes = 0;
  std::size_t messages = 0;
};

// An upper bound of the prompt tokens of a turn of `model` that adds
// `added` to `program` (null: its first call).
std::int64_t PromptTokenBound(const ProgramState* program,
                              const std::string& model,
                              const AddedText& added);

}  // namespace comfreyfold

#endif  // CORE_TOKEN_BOUND_H_
