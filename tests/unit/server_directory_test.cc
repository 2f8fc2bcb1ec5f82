#include <boost/test/unit_test.hpp>

#include "core/server_directory.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BackendServer MakeServer(const std::string& id, const std::string& address) {
  BackendServer out;
  out.id = id;
  out.service = "model";
  out.address = address;
  return out;
}

BOOST_AUTO_TEST_SUITE(server_directory)

BOOST_AUTO_TEST_CASE(entry_missing_without_outage_is_removed) {
  ServerDirectory directory;
  TimePoint now{milliseconds(10000)};
  directory.Apply({MakeServer("a", "1:1"), MakeServer("b", "1:2")}, now);
  directory.Apply({MakeServer("a", "1:1")}, now + milliseconds(1));
  BOOST_TEST(directory.servers().count("a") == 1U);
  BOOST_TEST(directory.servers().count("b") == 0U);
}

BOOST_AUTO_TEST_CASE(
    entry_missing_after_outage_is_kept_until_reregistration_time) {
  ServerDirectory directory;
  TimePoint now{milliseconds(10000)};
  directory.Apply({MakeServer("a", "1:1"), MakeServer("b", "1:2")}, now);
  directory.RegistryLost();
  now += milliseconds(9000);
  directory.Apply({MakeServer("a", "1:1")}, now);
  BOOST_TEST(directory.servers().count("b") == 1U);
  now += ServerDirectory::kReregistrationTime - milliseconds(1);
  directory.Apply({MakeServer("a", "1:1")}, now);
  BOOST_TEST(directory.servers().count("b") == 1U);
  directory.Apply({MakeServer("a", "1:1")}, now + milliseconds(1));
  BOOST_TEST(directory.servers().count("b") == 0U);
}

BOOST_AUTO_TEST_CASE(leaving_state_applies_at_once_after_outage) {
  ServerDirectory directory;
  const TimePoint now{milliseconds(10000)};
  directory.Apply({MakeServer("a", "1:1")}, now);
  directory.RegistryLost();
  auto leaving = MakeServer("a", "1:1");
  leaving.leaving = true;
  directory.Apply({leaving}, now + milliseconds(1));
  BOOST_TEST(directory.servers().at("a").leaving);
}

BOOST_AUTO_TEST_CASE(leaving_server_stays_so_when_its_entry_comes_back) {
  ServerDirectory directory;
  const TimePoint now{milliseconds(10000)};
  directory.Apply({MakeServer("a", "1:1"), MakeServer("b", "1:2")}, now);
  BOOST_TEST(directory.MarkLeaving("1:1", now));
  BOOST_TEST(!directory.MarkLeaving("1:1", now));
  BOOST_TEST(directory.servers().at("a").leaving);
  BOOST_TEST(!directory.servers().at("b").leaving);
  directory.Apply({}, now + milliseconds(1));
  directory.Apply({MakeServer("a", "1:1")}, now + milliseconds(2));
  BOOST_TEST(directory.servers().at("a").leaving);
  auto restarted = MakeServer("a", "1:1");
  restarted.started = milliseconds(5);
  directory.Apply({restarted}, now + milliseconds(3));
  BOOST_TEST(!directory.servers().at("a").leaving);
}

BOOST_AUTO_TEST_CASE(address_belongs_to_its_newest_server) {
  ServerDirectory directory;
  const TimePoint now{milliseconds(10000)};
  directory.Apply({MakeServer("a", "1:1")}, now);
  directory.RegistryLost();
  directory.Apply({MakeServer("c", "1:1")}, now + milliseconds(1));
  BOOST_TEST(directory.servers().count("a") == 0U);
  BOOST_TEST(directory.servers().count("c") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
