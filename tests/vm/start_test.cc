// Starts of comfreyfold-vm as a process.

#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

#include "harness/process.h"

namespace comfreyfold {
namespace {

constexpr std::chrono::seconds kEndTimeout{20};
constexpr const char* kSettings = R"({
  "node_name": "vm-1", "zone": "north", "ip": "127.0.0.1", "listen": {},
  "internal_ports": [7000], "platform": {"address": "127.0.0.1:1"}})";

BOOST_AUTO_TEST_SUITE(start)

BOOST_AUTO_TEST_CASE(reload_while_settings_are_read_does_not_end_the_process) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "comfreyfold-XXXXXX").string();
  BOOST_REQUIRE(::mkdtemp(folder.data()) != nullptr);
  const auto path = folder + "/settings";
  BOOST_REQUIRE_EQUAL(::mkfifo(path.c_str(), S_IRUSR | S_IWUSR), 0);
  harness::Process daemon(
      {COMFREYFOLD_VM, "--settings", path, "--check-settings"}, false);
  std::signal(SIGPIPE, SIG_IGN);
  // Opens once the daemon reads the file.
  std::ofstream settings(path);
  daemon.Signal(SIGHUP);
  settings << kSettings;
  settings.close();
  BOOST_TEST(daemon.Wait(kEndTimeout) == 0);
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
