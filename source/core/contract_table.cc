#include "core/contract_table.h"

#include <utility>

namespace comfreyfold {

namespace {

std::shared_ptr<const Contract> FindIn(
    const std::map<std::string, std::shared_ptr<const Contract>>& contracts,
    const std::string& key) {
  const auto it = contracts.find(key);
  return it == contracts.end() ? nullptr : it->second;
}

}  // namespace

bool ContractTable::Update(ContractSet set) {
  if (loaded_ && set.revision <= set_.revision) {
    return false;
  }
  faults_.clear();
  std::map<std::string, std::shared_ptr<const Contract>> by_name;
  std::map<std::string, std::shared_ptr<const Contract>> by_digest;
  for (const auto& it : set.contracts) {
    if (auto contract = Read(it)) {
      by_digest[contract->api_key_sha256] = contract;
      by_name[it.customer] = std::move(contract);
    }
  }
  by_name_ = std::move(by_name);
  by_digest_ = std::move(by_digest);
  set_ = std::move(set);
  loaded_ = true;
  return true;
}

std::shared_ptr<const Contract> ContractTable::Read(const ContractText& text) {
  try {
    return std::make_shared<const Contract>(
        ParseContract(text.text, "contract of " + text.customer));
  } catch (const IniError& e) {
    // The tool checks before it writes, so this is a newer version's
    // contract.
    faults_.emplace_back(e.what());
    return FindIn(by_name_, text.customer);
  }
}

std::shared_ptr<const Contract> ContractTable::FindByName(
    const std::string& name) const {
  return FindIn(by_name_, name);
}

std::shared_ptr<const Contract> ContractTable::FindByDigest(
    const std::string& digest) const {
  return FindIn(by_digest_, digest);
}

}  // namespace comfreyfold
