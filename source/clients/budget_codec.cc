#include "clients/budget_codec.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace comfreyfold {

using nlohmann::json;

std::string EncodeBudget(const BudgetRecord& record) {
  json grants = json::array();
  for (const auto& it : record.grants) {
    grants.push_back({{"daemon", it.daemon},
                      {"id", it.id},
                      {"granted", it.granted},
                      {"used", it.used},
                      {"counted_from", it.counted_from},
                      {"closing", it.closing}});
  }
  return json{{"period_start_s", record.period_start.count()},
              {"spent", record.spent},
              {"grants", grants}}
      .dump();
}

BudgetRecord DecodeBudget(const std::string& text) {
  try {
    const auto body = json::parse(text);
    BudgetRecord out;
    out.period_start =
        std::chrono::seconds(body.at("period_start_s").get<std::int64_t>());
    out.spent = body.at("spent").get<std::int64_t>();
    for (const auto& it : body.at("grants")) {
      out.grants.push_back({it.at("daemon").get<std::string>(),
                            it.at("id").get<std::string>(),
                            it.at("granted").get<std::int64_t>(),
                            it.at("used").get<std::int64_t>(),
                            it.at("counted_from").get<std::int64_t>(),
                            it.value("closing", false)});
    }
    return out;
  } catch (const json::exception& e) {
    throw std::runtime_error(
        std::string("invalid budget record: ") + e.what() +
        "; check the keys under budgets/ in the key-value service");
  }
}

}  // namespace comfreyfold
