#include "tool/contract_diff.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/ini_reader.h"

namespace comfreyfold {

namespace {

using SectionAndKey = std::pair<std::string, std::string>;

// Returns the values in the INI text of a contract, by section and key.
std::map<SectionAndKey, std::string> ParseValues(const std::string& text) {
  std::map<SectionAndKey, std::string> out;
  for (const auto& it : IniReader(text, {}).Values()) {
    out[{it.section, it.key}] = it.text;
  }
  return out;
}

}  // namespace

std::vector<ContractDifference> DiffContracts(const std::string& customer,
                                              const std::string& before,
                                              const std::string& after) {
  const auto old_values = ParseValues(before);
  const auto new_values = ParseValues(after);
  auto all = old_values;
  all.insert(new_values.begin(), new_values.end());
  std::vector<ContractDifference> out;
  for (const auto& [section_and_key, text] : all) {
    const auto old_value = old_values.find(section_and_key);
    const auto new_value = new_values.find(section_and_key);
    ContractDifference it;
    it.customer = customer;
    it.section = section_and_key.first;
    it.key = section_and_key.second;
    it.in_before = old_value != old_values.end();
    it.in_after = new_value != new_values.end();
    it.before = it.in_before ? old_value->second : std::string();
    it.after = it.in_after ? new_value->second : std::string();
    if (it.in_before != it.in_after || it.before != it.after) {
      out.push_back(it);
    }
  }
  return out;
}

std::string ToLine(const ContractDifference& difference) {
  return difference.customer + " [" + difference.section + "] " +
         difference.key + ": " +
         (difference.in_before ? difference.before : "(none)") + " -> " +
         (difference.in_after ? difference.after : "(none)");
}

nlohmann::json ToJson(const std::vector<ContractDifference>& differences) {
  auto out = nlohmann::json::array();
  for (const auto& it : differences) {
    nlohmann::json line = {
        {"customer", it.customer}, {"section", it.section}, {"key", it.key}};
    if (it.in_before) {
      line["was"] = it.before;
    }
    if (it.in_after) {
      line["is"] = it.after;
    }
    out.push_back(line);
  }
  return out;
}

}  // namespace comfreyfold
