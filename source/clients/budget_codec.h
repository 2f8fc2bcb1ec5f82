#ifndef CLIENTS_BUDGET_CODEC_H_
#define CLIENTS_BUDGET_CODEC_H_

#include <string>

#include "core/budget_record.h"

namespace comfreyfold {

// Prefix of the budget records' keys in the key-value service.
inline constexpr char kBudgetPrefix[] = "budgets/";

// Budget records are stored as JSON so that operators can read them.
// DecodeBudget throws std::runtime_error if `text` is not a budget record.
std::string EncodeBudget(const BudgetRecord& record);
BudgetRecord DecodeBudget(const std::string& text);

}  // namespace comfreyfold

#endif  // CLIENTS_BUDGET_CODEC_H_
