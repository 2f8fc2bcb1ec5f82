#ifndef CORE_CONTRACT_TABLE_H_
#define CORE_CONTRACT_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/contract.h"
#include "core/contract_set.h"

namespace comfreyfold {

// The contracts in force on one daemon. Never goes back to an older
// revision, whatever comes late.
class ContractTable {
 public:
  // Puts `set` in force when it is newer; false when it is not. A contract
  // that cannot be read leaves its customer's old one in force.
  bool Update(ContractSet set);

  // Null when there is none.
  std::shared_ptr<const Contract> FindByName(const std::string& name) const;
  std::shared_ptr<const Contract> FindByDigest(const std::string& digest) const;

  // What was put in force last, to hand on.
  const ContractSet& set() const { return set_; }
  std::int64_t revision() const { return set_.revision; }
  bool loaded() const { return loaded_; }
  // What could not be read in the last set taken, one a customer.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::shared_ptr<const Contract> Read(const ContractText& text);

  ContractSet set_;
  bool loaded_ = false;
  std::map<std::string, std::shared_ptr<const Contract>> by_name_;
  std::map<std::string, std::shared_ptr<const Contract>> by_digest_;
  std::vector<std::string> faults_;
};

}  // namespace comfreyfold

#endif  // CORE_CONTRACT_TABLE_H_
