// The operators' tool: comfreyfold [options] COMMAND [ARGUMENT...]

#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>

#include "log/event_log.h"
#include "net/loop.h"
#include "tool/command.h"

namespace comfreyfold {
namespace {

void PrintCommands() {
  std::cout << "Commands\n--------\n";
  for (const auto& it : AllCommands()) {
    std::cout << "  " << it.synopsis << "\n      " << it.brief << "\n";
  }
  std::cout << "\n'comfreyfold help COMMAND' shows a command's page.\n";
}

int PrintPage(const std::string& name) {
  for (const auto& it : AllCommands()) {
    if (it.name == name) {
      std::cout << "Synopsis\n--------\n  comfreyfold " << it.synopsis
                << "\n\nDescription\n-----------\n  " << it.brief
                << "\n\nExample\n-------\n  " << it.example << "\n";
      return kExitOk;
    }
  }
  std::cerr << "comfreyfold: no command '" << name
            << "'; 'comfreyfold help' lists them\n";
  return kExitUsage;
}

int RunCommand(const Command& command, const cxxopts::ParseResult& args) {
  int code = kExitFailed;
  Loop loop;
  loop.Spawn([&](Fiber& fiber) {
    CommandContext context{fiber};
    context.key_value = args["kv"].as<std::string>();
    context.daemons = args["daemons"].as<std::vector<std::string>>();
    context.arguments = args["arguments"].as<std::vector<std::string>>();
    context.json = args.count("json") > 0;
    context.lane = args["lane"].as<int>();
    context.customer = args["customer"].as<std::string>();
    try {
      code = command.run(context);
    } catch (const std::exception& e) {
      std::cerr << e.what() << "\n";
      code = kExitFailed;
    }
    std::cout.flush();
    std::quick_exit(code);
  });
  loop.Run();
  return code;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold",
                           "Drives comfreyfold by its contracts");
  options.positional_help("COMMAND [ARGUMENT...]");
  options.add_options()("kv", "ip:port of the key-value service",
                        cxxopts::value<std::string>()->default_value(""))(
      "daemons", "ip:port of each daemon, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "json", "print JSON")("lane", "only this lane",
                            cxxopts::value<int>()->default_value("-1"))(
      "customer", "only this customer",
      cxxopts::value<std::string>()->default_value(""))("help",
                                                        "show this page")(
      "command", "the command",
      cxxopts::value<std::string>()->default_value("help"))(
      "arguments", "its arguments",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  options.parse_positional({"command", "arguments"});
  const auto args = options.parse(argc, argv);
  const auto name = args["command"].as<std::string>();
  if (name == "help" || args.count("help") > 0) {
    const auto pages = args["arguments"].as<std::vector<std::string>>();
    if (args.count("arguments") > 0) {
      return PrintPage(pages.front());
    }
    std::cout << options.help({""}) << "\n";
    PrintCommands();
    return kExitOk;
  }
  for (const auto& it : AllCommands()) {
    if (it.name == name) {
      return RunCommand(it, args);
    }
  }
  return PrintPage(name);
}

}  // namespace
}  // namespace comfreyfold

int main(int argc, char** argv) {
  try {
    return comfreyfold::Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "comfreyfold: " << e.what()
              << "; 'comfreyfold help' shows the usage\n";
    return comfreyfold::kExitUsage;
  }
}
