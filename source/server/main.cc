// Entry point of the daemon: comfreyfoldd --config FILE [--check-config]

#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "core/contract.h"
#include "server/daemon.h"
#include "server/settings.h"

namespace comfreyfold {
namespace {

constexpr int kUsageError = 2;

Settings ReadSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    throw std::runtime_error(file + ": cannot be read; check --config");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return ParseSettings(text.str(), file);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfoldd",
                           "The comfreyfold daemon: schedules agent programs");
  options.add_options()("config", "settings file (INI)",
                        cxxopts::value<std::string>())(
      "check-config", "check the settings file and exit")("help",
                                                          "show this page");
  const auto args = options.parse(argc, argv);
  if (args.count("help") > 0 || args.count("config") == 0) {
    std::cout << options.help()
              << "\nExample:\n  comfreyfoldd --config comfreyfold.ini\n";
    return args.count("help") > 0 ? 0 : kUsageError;
  }
  const auto settings = ReadSettings(args["config"].as<std::string>());
  if (args.count("check-config") > 0) {
    const PeerSecret checked(settings.peer_secret_file);
    std::cout << "settings are valid\n";
    return 0;
  }
  Loop loop;
  Daemon daemon(loop, settings);
  const auto file = args["config"].as<std::string>();
  const auto address = daemon.Start([&file](const std::string& why) {
    std::cerr << file << ": " << why << std::endl;
    std::quick_exit(kUsageError);
  });
  std::cout << "{\"listening\":\"" << address << "\"}" << std::endl;
  // quick_exit skips the destructors: suspended coroutines may still refer to
  // the objects that these would free.
  loop.OnTermination([&daemon] { daemon.Drain([] { std::quick_exit(0); }); });
  loop.Run();
  return 0;
}

}  // namespace
}  // namespace comfreyfold

int main(int argc, char** argv) {
  try {
    return comfreyfold::Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return comfreyfold::kUsageError;
  }
}
