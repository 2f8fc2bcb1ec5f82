#include "tool/contract_diff.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/ini_reader.h"

namespace comfreyfold {

namespace {

using Place = std::pair<std::string, std::string>;

std::map<Place, std::string> ValuesOf(const std::string& text) {
  std::map<Place, std::string> out;
  for (const auto& it : IniReader(text, {}).Values()) {
    out[{it.section, it.key}] = it.text;
  }
  return out;
}

}  // namespace

std::vector<ContractDifference> DiffContracts(const std::string& customer,
                                              const std::string& before,
                                              const std::string& after) {
  const auto old = ValuesOf(before);
  const auto fresh = ValuesOf(after);
  auto all = old;
  all.insert(fresh.begin(), fresh.end());
  std::vector<ContractDifference> out;
  for (const auto& [place, text] : all) {
    const auto was = old.find(place);
    const auto is = fresh.find(place);
    ContractDifference it;
    it.customer = customer;
    it.section = place.first;
    it.key = place.second;
    it.was_there = was != old.end();
    it.is_there = is != fresh.end();
    it.was = it.was_there ? was->second : std::string();
    it.is = it.is_there ? is->second : std::string();
    if (it.was_there != it.is_there || it.was != it.is) {
      out.push_back(it);
    }
  }
  return out;
}

std::string ToLine(const ContractDifference& difference) {
  return difference.customer + " [" + difference.section + "] " +
         difference.key + ": " +
         (difference.was_there ? difference.was : "(none)") + " -> " +
         (difference.is_there ? difference.is : "(none)");
}

nlohmann::json ToJson(const std::vector<ContractDifference>& differences) {
  auto out = nlohmann::json::array();
  for (const auto& it : differences) {
    nlohmann::json line = {
        {"customer", it.customer}, {"section", it.section}, {"key", it.key}};
    if (it.was_there) {
      line["was"] = it.was;
    }
    if (it.is_there) {
      line["is"] = it.is;
    }
    out.push_back(line);
  }
  return out;
}

}  // namespace comfreyfold
