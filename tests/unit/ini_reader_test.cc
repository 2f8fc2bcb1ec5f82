#include "core/ini_reader.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

const std::string kKey(64, 'a');

std::string CustomerSection() {
  return "[customer]\nname = c\napi_key_sha256 = " + kKey + "\n";
}

// Returns the faults of a contract; empty if it is valid.
std::vector<IniFault> FaultsOf(const std::string& text) {
  try {
    ParseContract(text, "c.ini");
  } catch (const IniError& e) {
    return e.faults();
  }
  return {};
}

bool HasFault(const std::vector<IniFault>& faults,
              int line,
              const std::string& part) {
  return std::any_of(faults.begin(), faults.end(), [&](const IniFault& it) {
    return it.file == "c.ini" && it.line == line &&
           it.message.find(part) != std::string::npos;
  });
}

BOOST_AUTO_TEST_SUITE(contract_text)

BOOST_AUTO_TEST_CASE(a_complete_contract_is_valid) {
  BOOST_TEST(FaultsOf(CustomerSection() + "[budget]\ntokens = 5\n").empty());
}

BOOST_AUTO_TEST_CASE(an_empty_file_is_a_fault) {
  BOOST_TEST(HasFault(FaultsOf(""), 1, "[customer] name: missing"));
}

BOOST_AUTO_TEST_CASE(a_key_given_twice_is_a_fault) {
  const auto faults =
      FaultsOf(CustomerSection() + "[budget]\ntokens = 5\ntokens = 6\n");
  BOOST_TEST(HasFault(faults, 6, "each key once"));
}

BOOST_AUTO_TEST_CASE(a_section_given_twice_is_a_fault) {
  const auto faults = FaultsOf(CustomerSection() +
                               "[budget]\ntokens = 5\n[share]\nweight = 2\n"
                               "[budget]\nperiod = 5s\n");
  BOOST_TEST(HasFault(faults, 8, "duplicate section"));
}

BOOST_AUTO_TEST_CASE(a_section_without_keys_is_a_fault) {
  const auto faults =
      FaultsOf(CustomerSection() + "[budget]\ntokens = 5\n[budgte]\n");
  BOOST_TEST(HasFault(faults, 6, "a section without keys"));
}

BOOST_AUTO_TEST_CASE(an_unknown_section_is_a_fault) {
  const auto faults = FaultsOf(CustomerSection() +
                               "[budget]\ntokens = 5\n[budgte]\nperiod = 5s\n");
  BOOST_TEST(HasFault(faults, 7, "unknown key"));
}

BOOST_AUTO_TEST_CASE(a_missing_key_is_reported_at_its_section) {
  const auto faults = FaultsOf(CustomerSection() + "[budget]\nperiod = 5s\n");
  BOOST_TEST(HasFault(faults, 4, "[budget] tokens: missing"));
}

BOOST_AUTO_TEST_CASE(an_invalid_value_is_reported_with_the_allowed_range) {
  const auto faults = FaultsOf(CustomerSection() + "[budget]\ntokens = many\n");
  BOOST_TEST(
      HasFault(faults, 5, "tokens = 'many': write a whole number from 0"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
