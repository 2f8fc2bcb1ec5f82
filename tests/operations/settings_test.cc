// Checks that an invalid value in the settings file is reported with its file,
// line and key.

#include <map>

#include <boost/test/unit_test.hpp>

#include "core/contract.h"
#include "server/settings.h"

namespace comfreyfold {
namespace {

struct InvalidValue {
  const char* section;
  const char* key;
  const char* value;
};

// Returns a settings file in which only the key of `invalid` may be invalid.
std::string SettingsWith(const InvalidValue& invalid) {
  std::map<std::string, std::map<std::string, std::string>> sections{
      {"daemon", {{"id", "d0"}, {"data_centre", "dc-a"}}},
      {"platform", {{"key_value", "127.0.0.1:1"}, {"vm_list", "127.0.0.1:2"}}}};
  sections[invalid.section][invalid.key] = invalid.value;
  std::string out;
  for (const auto& [section, keys] : sections) {
    out += "[" + section + "]\n";
    for (const auto& [key, value] : keys) {
      out += key + " = " + value + "\n";
    }
  }
  return out;
}

// Returns the line number of the key of `invalid` in `text`.
int LineOf(const std::string& text, const InvalidValue& invalid) {
  const auto offset =
      text.find(std::string(invalid.key) + " = " + invalid.value);
  return 1 + static_cast<int>(std::count(
                 text.begin(),
                 text.begin() + static_cast<std::ptrdiff_t>(offset), '\n'));
}

const InvalidValue kInvalidValues[] = {
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
    {"members", "every_peer_up_to", "-1"},
    {"members", "probes", "0"},
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

BOOST_AUTO_TEST_CASE(every_invalid_value_is_reported_with_its_location) {
  for (const auto& invalid : kInvalidValues) {
    const auto text = SettingsWith(invalid);
    BOOST_TEST_CONTEXT(invalid.section << "." << invalid.key << " = "
                                       << invalid.value) {
      try {
        ParseSettings(text, "daemon.ini");
        BOOST_ERROR("was accepted");
      } catch (const IniError& e) {
        BOOST_REQUIRE(!e.faults().empty());
        const auto& fault = e.faults().front();
        BOOST_TEST(fault.file == "daemon.ini");
        BOOST_TEST(fault.line == LineOf(text, invalid));
        BOOST_TEST(fault.message.find(invalid.key) != std::string::npos);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_valid_file_is_accepted) {
  const auto settings =
      ParseSettings(SettingsWith({"http", "connections", "17"}), "daemon.ini");
  BOOST_TEST(settings.http.connections == 17);
  BOOST_TEST(settings.daemon == "d0");
}

BOOST_AUTO_TEST_CASE(all_missing_keys_are_reported_together) {
  try {
    ParseSettings("[daemon]\nid = d0\n", "daemon.ini");
    BOOST_ERROR("was accepted");
  } catch (const IniError& e) {
    BOOST_TEST(e.faults().size() == 3U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
