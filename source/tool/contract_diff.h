#ifndef TOOL_CONTRACT_DIFF_H_
#define TOOL_CONTRACT_DIFF_H_

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace comfreyfold {

// A key that differs between two versions of a contract. The flags tell an
// absent key from one with an empty value.
struct ContractDifference {
  std::string customer;  // "placement NAME" for a placement.
  std::string section;
  std::string key;
  bool in_before = false;
  bool in_after = false;
  std::string before;
  std::string after;
};

// Returns the keys that differ between the texts `before` and `after`. An empty
// text stands for a customer without a contract.
std::vector<ContractDifference> DiffContracts(const std::string& customer,
                                              const std::string& before,
                                              const std::string& after);

// Formats a difference as a line, such as
// "bandwerk [budget] tokens: 1 -> 2".
std::string ToLine(const ContractDifference& difference);
nlohmann::json ToJson(const std::vector<ContractDifference>& differences);

}  // namespace comfreyfold

#endif  // TOOL_CONTRACT_DIFF_H_
