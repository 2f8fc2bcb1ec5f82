#ifndef CORE_CONTRACT_SET_H_
#define CORE_CONTRACT_SET_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

// One customer's contract as its operators wrote it.
struct ContractText {
  std::string customer;
  std::string text;

  bool operator==(const ContractText&) const = default;
};

// All contracts as of one revision, as daemons hand them on.
struct ContractSet {
  std::int64_t revision = 0;
  std::vector<ContractText> contracts;

  bool operator==(const ContractSet&) const = default;
};

}  // namespace comfreyfold

#endif  // CORE_CONTRACT_SET_H_
