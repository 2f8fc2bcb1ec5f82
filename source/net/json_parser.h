#ifndef NET_JSON_PARSER_H_
#define NET_JSON_PARSER_H_

#include <string_view>

#include <nlohmann/json.hpp>

namespace comfreyfold {

// Levels of nesting that JSON from other programs may have.
inline constexpr int kMaxJsonDepth = 64;

// Parses JSON that another program wrote. Returns a discarded value if `text`
// is not JSON in UTF-8, or is nested deeper than kMaxJsonDepth. `too_deep`, if
// not null, is set to whether it is the latter.
nlohmann::json ParseJson(std::string_view text, bool* too_deep = nullptr);

}  // namespace comfreyfold

#endif  // NET_JSON_PARSER_H_
