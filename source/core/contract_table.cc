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
    if (auto contract = Parse(it)) {
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

std::shared_ptr<const Contract> ContractTable::Parse(const ContractText& text) {
  try {
    return std::make_shared<const Contract>(
        ParseContract(text.text, "contract of " + text.customer));
  } catch (const IniError& e) {
    // The command-line tool validates contracts before it writes them, so
    // this one was written by a newer version.
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
