// What an operator can meet is in the operations page: each setting, code of
// a refusal, event and metric that the sources name.

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

const std::filesystem::path kRoot = COMFREYFOLD_ROOT;

std::string Read(const std::filesystem::path& file) {
  std::ostringstream out;
  out << std::ifstream(kRoot / file).rdbuf();
  BOOST_REQUIRE(!out.str().empty());
  return out.str();
}

// All of the daemon's sources.
const std::string& Sources() {
  static const auto* const text = [] {
    auto* out = new std::string;
    for (const auto* folder : {"core", "net", "backend", "server"}) {
      for (const auto& it :
           std::filesystem::directory_iterator(kRoot / "source" / folder)) {
        *out += Read(std::filesystem::relative(it.path(), kRoot));
      }
    }
    return out;
  }();
  return *text;
}

// What the groups of each match make, put together with `glue`.
std::set<std::string> Matches(const std::string& text,
                              const std::string& pattern,
                              const std::string& glue = {}) {
  const std::regex regex(pattern);
  std::set<std::string> out;
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it) {
    std::string name = (*it)[1];
    for (std::size_t i = 2; i < it->size(); ++i) {
      name += glue + (*it)[i].str();
    }
    out.insert(name);
  }
  return out;
}

void CheckNamed(const std::string& page, const std::set<std::string>& names) {
  BOOST_TEST(!names.empty());
  for (const auto& it : names) {
    BOOST_TEST(page.find("`" + it + "`") != std::string::npos,
               it << " is not in the page");
  }
}

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(every_setting_is_on_its_page) {
  std::set<std::string> settings;
  for (const auto& it : Matches(Read("source/server/settings.cc"),
                                R"re("(\w+)",\s*"(\w+)")re", "] ")) {
    settings.insert("[" + it);
  }
  CheckNamed(Read("docs/OPERATIONS.md"), settings);
  CheckNamed(Read("docs/design/decisions.md"),
             Matches(Read("source/server/decision_keys.cc"),
                     R"re((?:reader|kSection),\s*"(\w+)")re"));
}

BOOST_AUTO_TEST_CASE(every_code_is_on_the_page) {
  const auto page = Read("docs/OPERATIONS.md");
  CheckNamed(page, Matches(Sources(), R"re(\b[45]\d\d,\s*"(\w+)")re"));
  CheckNamed(page, Matches(Sources(), R"re(Refuse\(\s*"(\w+)")re"));
  for (const auto* file : {"call_limits.cc", "program_reaper.cc"}) {
    CheckNamed(page,
               Matches(Read(std::filesystem::path("source/server") / file),
                       R"re("(\w+_limit)")re"));
  }
}

BOOST_AUTO_TEST_CASE(every_event_and_metric_is_on_the_page) {
  const auto page = Read("docs/OPERATIONS.md");
  CheckNamed(page, Matches(Sources(), R"re(\.name = [^,"]*"(\w+)")re"));
  CheckNamed(page,
             Matches(Sources(), R"re(\.name = [^,"]*"\w+"\s*: "(\w+)")re"));
  CheckNamed(page, Matches(Sources(), R"re((?:LogEvent|EventOf)\("(\w+)")re"));
  for (const auto* file : {"log/metrics.cc", "server/operator_api.cc"}) {
    CheckNamed(page, Matches(Read(std::filesystem::path("source") / file),
                             R"re("(comfreyfold_\w+)")re"));
  }
}

// The daemon on the users' platform: its log lines, codes and metrics.
BOOST_AUTO_TEST_CASE(every_line_of_the_platform_daemon_is_on_its_page) {
  const auto page = Read("docs/OPERATIONS-platform.md");
  std::string sources;
  for (const auto* folder : {"fleet", "front", "storage", "vm"}) {
    for (const auto& it :
         std::filesystem::directory_iterator(kRoot / "source" / folder)) {
      sources += Read(std::filesystem::relative(it.path(), kRoot));
    }
  }
  CheckNamed(page, Matches(sources, R"re(Write\(\s*"(\w+)")re"));
  CheckNamed(page, Matches(sources, R"re(\? "(\w+)"\s*: "\w+",\s*"")re"));
  CheckNamed(page, Matches(sources, R"re(\bk\w+,\s*"(\w+)",\s*")re"));
  CheckNamed(page, Matches(sources, R"re("(comfreyfold_\w+)")re"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
