#ifndef CLIENTS_BUDGET_CODEC_H_
#define CLIENTS_BUDGET_CODEC_H_

#include <string>

#include "core/budget_record.h"

namespace comfreyfold {

// Where the budget records live in the key-value service.
inline constexpr char kBudgetPrefix[] = "budgets/";

// JSON, so that operators can read a record. Decode throws
// std::runtime_error.
std::string EncodeBudget(const BudgetRecord& record);
BudgetRecord DecodeBudget(const std::string& text);

}  // namespace comfreyfold

#endif  // CLIENTS_BUDGET_CODEC_H_
