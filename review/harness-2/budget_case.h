#ifndef REVIEW_HARNESS_2_BUDGET_CASE_H_
#define REVIEW_HARNESS_2_BUDGET_CASE_H_

#include <string>

namespace comfreyfold::review {

// Programs that loop spend their token budgets and return twice, the second
// time while one storage machine is down. Returns 1 if a program got more than
// its budget and one turn, 0 if none did, 2 if the case could not run.
int RunBudgetCase(const std::string& record_path);

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_2_BUDGET_CASE_H_
