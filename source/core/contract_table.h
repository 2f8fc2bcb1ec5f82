#ifndef CORE_CONTRACT_TABLE_H_
#define CORE_CONTRACT_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/contract.h"
#include "core/contract_set.h"

namespace comfreyfold {

// The contracts in force on one daemon. Never returns to an older revision,
// even if contract sets arrive out of order.
class ContractTable {
 public:
  // Puts `set` in force if it is newer and returns whether it was. A contract
  // that cannot be parsed leaves the customer's previous one in force.
  bool Update(ContractSet set);

  // Both return null when there is no such contract.
  std::shared_ptr<const Contract> FindByName(const std::string& name) const;
  // `digest` is the SHA-256 of the API key.
  std::shared_ptr<const Contract> FindByDigest(const std::string& digest) const;

  // The set put in force last, as it is passed on to other daemons.
  const ContractSet& set() const { return set_; }
  std::int64_t revision() const { return set_.revision; }
  bool loaded() const { return loaded_; }
  // Errors of the contracts in the last set that could not be parsed, one per
  // customer.
  const std::vector<std::string>& faults() const { return faults_; }

 private:
  std::shared_ptr<const Contract> Parse(const ContractText& text);

  ContractSet set_;
  bool loaded_ = false;
  std::map<std::string, std::shared_ptr<const Contract>> by_name_;
  std::map<std::string, std::shared_ptr<const Contract>> by_digest_;
  std::vector<std::string> faults_;
};

}  // namespace comfreyfold

#endif  // CORE_CONTRACT_TABLE_H_
