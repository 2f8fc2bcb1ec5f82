#ifndef TOOL_CONTRACT_DIFF_H_
#define TOOL_CONTRACT_DIFF_H_

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace comfreyfold {

// One key that differs between two texts of a contract. An empty optional
// side is told by its flag: a key may be there with an empty value.
struct ContractDifference {
  std::string customer;
  std::string section;
  std::string key;
  bool was_there = false;
  bool is_there = false;
  std::string was;
  std::string is;
};

// What changes when `before` becomes `after`; an empty text means that the
// customer has no contract.
std::vector<ContractDifference> DiffContracts(const std::string& customer,
                                              const std::string& before,
                                              const std::string& after);

// One difference as a line: "bandwerk [budget] tokens: 1 -> 2".
std::string ToLine(const ContractDifference& difference);
nlohmann::json ToJson(const std::vector<ContractDifference>& differences);

}  // namespace comfreyfold

#endif  // TOOL_CONTRACT_DIFF_H_
