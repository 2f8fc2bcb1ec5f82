// Every key of the settings file is checked with file, line, value and
// what is allowed.

#include <map>

#include <boost/test/unit_test.hpp>

#include "core/contract.h"
#include "server/settings.h"

namespace comfreyfold {
namespace {

struct BadValue {
  const char* section;
  const char* key;
  const char* value;
};

// A settings file that is right but for one key.
std::string TextWith(const BadValue& bad) {
  std::map<std::string, std::map<std::string, std::string>> sections{
      {"daemon", {{"id", "d0"}, {"data_centre", "dc-a"}}},
      {"platform", {{"key_value", "127.0.0.1:1"}, {"vm_list", "127.0.0.1:2"}}}};
  sections[bad.section][bad.key] = bad.value;
  std::string out;
  for (const auto& [section, keys] : sections) {
    out += "[" + section + "]\n";
    for (const auto& [key, value] : keys) {
      out += key + " = " + value + "\n";
    }
  }
  return out;
}

int LineOf(const std::string& text, const BadValue& bad) {
  const auto n = text.find(std::string(bad.key) + " = " + bad.value);
  return 1 + static_cast<int>(std::count(
                 text.begin(), text.begin() + static_cast<std::ptrdiff_t>(n),
                 '\n'));
}

const BadValue kBadValues[] = {
    {"daemon", "listen", "localhost"},
    {"daemon", "drain_time", "0s"},
    {"daemon", "recent_events_bytes", "12"},
    {"daemon", "no_such_key", "1"},
    {"platform", "key_value", "10.0.0.5"},
    {"platform", "vm_list", ":80"},
    {"platform", "timeout", "soon"},
    {"platform", "vm_list_interval", "1ms"},
    {"platform", "contract_poll_interval", "20s"},
    {"lanes", "count", "0"},
    {"lanes", "count", "many"},
    {"members", "heartbeat_interval", "11s"},
    {"members", "heartbeat_timeout", "1ms"},
    {"members", "lease", "1s"},
    {"calls", "deadline", "2h"},
    {"calls", "load_interval", "0ms"},
    {"http", "body_bytes", "1"},
    {"http", "header_bytes", "1"},
    {"http", "request_time", "1ms"},
    {"http", "idle_time", "2h"},
    {"http", "connections", "0"},
    {"no_such_section", "key", "1"},
};

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(every_bad_value_is_shown_where_it_stands) {
  for (const auto& bad : kBadValues) {
    const auto text = TextWith(bad);
    BOOST_TEST_CONTEXT(bad.section << "." << bad.key << " = " << bad.value) {
      try {
        ParseSettings(text, "daemon.ini");
        BOOST_ERROR("was taken");
      } catch (const IniError& e) {
        BOOST_REQUIRE(!e.faults().empty());
        const auto& fault = e.faults().front();
        BOOST_TEST(fault.file == "daemon.ini");
        BOOST_TEST(fault.line == LineOf(text, bad));
        BOOST_TEST(fault.message.find(bad.key) != std::string::npos);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_right_file_is_taken) {
  const auto settings =
      ParseSettings(TextWith({"http", "connections", "17"}), "daemon.ini");
  BOOST_TEST(settings.http.connections == 17);
  BOOST_TEST(settings.daemon == "d0");
}

BOOST_AUTO_TEST_CASE(missing_keys_are_told_together) {
  try {
    ParseSettings("[daemon]\nid = d0\n", "daemon.ini");
    BOOST_ERROR("was taken");
  } catch (const IniError& e) {
    BOOST_TEST(e.faults().size() == 3U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
