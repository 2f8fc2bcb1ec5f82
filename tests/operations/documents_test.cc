// Checks that the operators' pages document every setting, error code, event
// and metric that the sources name. The names are found by regular expressions.

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

std::string ReadFile(const std::filesystem::path& file) {
  std::ostringstream out;
  out << std::ifstream(kRoot / file).rdbuf();
  BOOST_REQUIRE(!out.str().empty());
  return out.str();
}

// Returns the text of all sources of comfreyfoldd.
const std::string& DaemonSources() {
  static const auto* const text = [] {
    auto* out = new std::string;
    for (const auto* folder : {"core", "net", "backend", "server"}) {
      for (const auto& it :
           std::filesystem::directory_iterator(kRoot / "source" / folder)) {
        *out += ReadFile(std::filesystem::relative(it.path(), kRoot));
      }
    }
    return out;
  }();
  return *text;
}

// Returns the name that each match of `pattern` in `text` captures. The
// captures of a match are joined with `separator`.
std::set<std::string> FindNames(const std::string& text,
                                const std::string& pattern,
                                const std::string& separator = {}) {
  const std::regex regex(pattern);
  std::set<std::string> out;
  for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end;
       ++it) {
    std::string name = (*it)[1];
    for (std::size_t i = 2; i < it->size(); ++i) {
      name += separator + (*it)[i].str();
    }
    out.insert(name);
  }
  return out;
}

// Checks that `page` holds each of `names` in backquotes, and that there are
// any.
void CheckDocumented(const std::string& page,
                     const std::set<std::string>& names) {
  BOOST_TEST(!names.empty());
  for (const auto& it : names) {
    BOOST_TEST(page.find("`" + it + "`") != std::string::npos,
               it << " is not documented on the page");
  }
}

BOOST_AUTO_TEST_SUITE(documents)

BOOST_AUTO_TEST_CASE(every_setting_is_documented) {
  std::set<std::string> settings;
  for (const auto& it : FindNames(ReadFile("source/server/settings.cc"),
                                  R"re("(\w+)",\s*"(\w+)")re", "] ")) {
    settings.insert("[" + it);
  }
  CheckDocumented(ReadFile("docs/OPERATIONS.md"), settings);
  CheckDocumented(ReadFile("docs/design/decisions.md"),
                  FindNames(ReadFile("source/server/decision_keys.cc"),
                            R"re((?:reader|kSection),\s*"(\w+)")re"));
}

BOOST_AUTO_TEST_CASE(every_error_code_is_documented) {
  const auto page = ReadFile("docs/OPERATIONS.md");
  CheckDocumented(page,
                  FindNames(DaemonSources(), R"re(\b[45]\d\d,\s*"(\w+)")re"));
  CheckDocumented(page,
                  FindNames(DaemonSources(), R"re(Refuse\(\s*"(\w+)")re"));
  for (const auto* file : {"call_limits.cc", "program_reaper.cc"}) {
    CheckDocumented(
        page, FindNames(ReadFile(std::filesystem::path("source/server") / file),
                        R"re("(\w+_limit)")re"));
  }
}

BOOST_AUTO_TEST_CASE(every_event_and_metric_is_documented) {
  const auto page = ReadFile("docs/OPERATIONS.md");
  CheckDocumented(page,
                  FindNames(DaemonSources(), R"re(\.name = [^,"]*"(\w+)")re"));
  CheckDocumented(page, FindNames(DaemonSources(),
                                  R"re(\.name = [^,"]*"\w+"\s*: "(\w+)")re"));
  CheckDocumented(page, FindNames(DaemonSources(),
                                  R"re((?:LogEvent|EventOf)\(\s*"(\w+)")re"));
  for (const auto* file : {"log/metrics.cc", "server/operator_api.cc"}) {
    CheckDocumented(page,
                    FindNames(ReadFile(std::filesystem::path("source") / file),
                              R"re("(comfreyfold_\w+)")re"));
  }
}

// The log lines, codes and metrics of comfreyfold-vm.
BOOST_AUTO_TEST_CASE(
    every_log_line_code_and_metric_of_the_platform_daemon_is_documented) {
  const auto page = ReadFile("docs/OPERATIONS-platform.md");
  std::string sources;
  for (const auto* folder : {"fleet", "front", "storage", "vm"}) {
    for (const auto& it :
         std::filesystem::directory_iterator(kRoot / "source" / folder)) {
      sources += ReadFile(std::filesystem::relative(it.path(), kRoot));
    }
  }
  CheckDocumented(page, FindNames(sources, R"re(Write\(\s*"(\w+)")re"));
  CheckDocumented(page,
                  FindNames(sources, R"re(\? "(\w+)"\s*: "\w+",\s*"")re"));
  CheckDocumented(page, FindNames(sources, R"re(\bk\w+,\s*"(\w+)",\s*")re"));
  CheckDocumented(page, FindNames(sources, R"re("(comfreyfold_\w+)")re"));
}

// New suites were left out of the list of tests and never ran.
BOOST_AUTO_TEST_CASE(every_suite_of_daemons_is_run_by_ci) {
  for (const std::string folder : {"vm", "process"}) {
    std::set<std::string> suites;
    for (const auto& it :
         std::filesystem::directory_iterator(kRoot / "tests" / folder)) {
      suites.merge(
          FindNames(ReadFile(std::filesystem::relative(it.path(), kRoot)),
                    R"re(BOOST_AUTO_TEST_SUITE\((\w+)\))re"));
    }
    const auto lists = FindNames(
        ReadFile("tests/CMakeLists.txt"),
        R"re(foreach\(suite([^)]*)\)\s*add_test\(\S+ \S+ COMMAND comfreyfold_)re" +
            folder + "_test");
    BOOST_REQUIRE(lists.size() == 1U);
    const auto listed = FindNames(*lists.begin(), R"re((\w+))re");
    BOOST_TEST(suites.size() > 1U);
    for (const auto& it : suites) {
      BOOST_TEST(listed.count(it) == 1U,
                 "the suite " << it << " of tests/" << folder << " is not run");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
