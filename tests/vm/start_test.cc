// Starts of comfreyfold-vm as a process.

#include <sys/stat.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

#include "harness/deployment.h"
#include "harness/process.h"
#include "harness/test_folder.h"
#include "net/http_server.h"

namespace comfreyfold {
namespace {

constexpr std::chrono::seconds kEndTimeout{20};
constexpr const char* kSettings = R"({
  "node_name": "vm-1", "zone": "north", "ip": "127.0.0.1", "listen": {},
  "internal_ports": [7000], "platform": {"address": "127.0.0.1:1"}})";

BOOST_AUTO_TEST_SUITE(start)

BOOST_AUTO_TEST_CASE(reload_while_settings_are_read_does_not_end_the_process) {
  const std::string folder = harness::MakeTestFolder();
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

// The daemon logged the reload and kept asking at the old address.
BOOST_AUTO_TEST_CASE(reload_with_another_address_of_the_store_is_followed) {
  const std::string folder = harness::MakeTestFolder();
  const auto path = folder + "/settings";
  Loop loop;
  const auto internal = harness::FreeAddress(loop, "127.0.0.1");
  const auto port = internal.substr(internal.rfind(':') + 1);
  const auto write_settings = [&path, &port](const std::string& store) {
    std::ofstream out(path);
    out << R"({"node_name": "vm-1", "zone": "north", "ip": "127.0.0.1",
      "listen": {}, "internal_ports": [)"
        << port << R"(], "platform": {"address": ")" << store << R"("}})";
  };
  int asked_old = 0;
  int asked_new = 0;
  const auto refuse = [](int& asked) {
    return [&asked](Fiber&, const HttpRequest&, HttpExchange& exchange) {
      ++asked;
      exchange.Reply(503, "text/plain", "out");
    };
  };
  HttpServer old_store(loop, refuse(asked_old));
  HttpServer new_store(loop, refuse(asked_new));
  write_settings(old_store.Listen("127.0.0.1:0"));
  const auto new_address = new_store.Listen("127.0.0.1:0");
  harness::Process daemon({COMFREYFOLD_VM, "--settings", path}, false);
  loop.Spawn([&](Fiber& fiber) {
    const auto is_asked = [&fiber](const int& asked) {
      const auto deadline = std::chrono::steady_clock::now() + kEndTimeout;
      while (asked == 0 && std::chrono::steady_clock::now() < deadline) {
        fiber.Sleep(std::chrono::milliseconds(10));
      }
      return asked > 0;
    };
    BOOST_TEST(is_asked(asked_old));
    write_settings(new_address);
    daemon.Signal(SIGHUP);
    BOOST_TEST(is_asked(asked_new));
    loop.Stop();
  });
  loop.Run();
  daemon.Signal(SIGKILL);
  daemon.Wait(kEndTimeout);
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
