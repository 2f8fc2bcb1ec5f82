#ifndef CORE_CONTRACT_SET_H_
#define CORE_CONTRACT_SET_H_

#include <cstdint>
#include <string>
#include <vector>

namespace comfreyfold {

// The text of one customer's contract as its operators wrote it.
struct ContractText {
  std::string customer;
  std::string text;

  bool operator==(const ContractText&) const = default;
};

// All contracts of one revision, as they are exchanged between daemons.
struct ContractSet {
  std::int64_t revision = 0;
  std::vector<ContractText> contracts;

  bool operator==(const ContractSet&) const = default;
};

}  // namespace comfreyfold

#endif  // CORE_CONTRACT_SET_H_
