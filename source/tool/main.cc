// The command-line tool for operators:
// comfreyfold [options] COMMAND [ARGUMENT...]

#include <algorithm>
#include <iostream>

#include <cxxopts.hpp>

#include "log/event_log.h"
#include "net/loop.h"
#include "tool/command.h"
#include "tool/tool_settings.h"

namespace comfreyfold {
namespace {

void PrintCommands() {
  std::cout << "Commands\n--------\n";
  for (const auto& it : AllCommands()) {
    std::cout << "  " << it.synopsis << "\n      " << it.description << "\n";
  }
  std::cout
      << "\n'comfreyfold help COMMAND' shows the help page of a command.\n";
}

const Command* FindCommand(const std::vector<Command>& commands,
                           const std::string& name) {
  const auto it =
      std::find_if(commands.begin(), commands.end(),
                   [&name](const Command& c) { return c.name == name; });
  return it == commands.end() ? nullptr : &*it;
}

int ReportUnknownCommand(const std::string& name) {
  std::cerr << "comfreyfold: unknown command '" << name
            << "'; 'comfreyfold help' lists the commands\n";
  return kExitUsage;
}

// Returns the settings. Options on the command line override those of the
// settings file.
ToolSettings ReadSettings(const cxxopts::ParseResult& args) {
  ToolSettings out;
  if (args.count("config") > 0) {
    out = ReadToolSettings(args["config"].as<std::string>());
  }
  if (args.count("kv") > 0) {
    out.key_value_address = args["kv"].as<std::string>();
  }
  if (args.count("daemons") > 0) {
    out.daemon_addresses = args["daemons"].as<std::vector<std::string>>();
  }
  if (args.count("wait") > 0) {
    out.confirm_timeout = std::chrono::seconds(args["wait"].as<int>());
  }
  return out;
}

int RunCommand(const Command& command, const cxxopts::ParseResult& args) {
  const auto settings = ReadSettings(args);
  int exit_code = kExitFailed;
  Loop loop;
  loop.Spawn([&](Fiber& fiber) {
    CommandContext context{fiber};
    context.key_value_address = settings.key_value_address;
    context.daemon_addresses = settings.daemon_addresses;
    context.confirm_timeout = settings.confirm_timeout;
    if (args.count("arguments") > 0) {
      context.arguments = args["arguments"].as<std::vector<std::string>>();
    }
    context.json = args.count("json") > 0;
    context.lane = args["lane"].as<int>();
    context.customer = args["customer"].as<std::string>();
    context.dry_run = args.count("dry-run") > 0;
    try {
      exit_code = command.run(context);
    } catch (const UsageError& e) {
      std::cerr << e.what() << "\n";
      exit_code = kExitUsage;
    } catch (const std::exception& e) {
      std::cerr << e.what() << "\n";
      exit_code = kExitFailed;
    }
    std::cout.flush();
    std::quick_exit(exit_code);
  });
  loop.Run();
  return exit_code;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options out("comfreyfold",
                       "Manages contracts and shows the state of the daemons");
  out.positional_help("COMMAND [ARGUMENT...]");
  out.add_options()("config", "settings file (INI)",
                    cxxopts::value<std::string>())(
      "kv", "ip:port of the key-value service", cxxopts::value<std::string>())(
      "daemons", "ip:port of each daemon, separated by commas",
      cxxopts::value<std::vector<std::string>>())(
      "wait", "seconds to wait for the daemons to confirm a change",
      cxxopts::value<int>())("dry-run",
                             "show the differences without writing them")(
      "json", "print JSON instead of text")(
      "lane", "only events of this lane",
      cxxopts::value<int>()->default_value("-1"))(
      "customer", "only events of this customer",
      cxxopts::value<std::string>()->default_value(""))("help", "show help")(
      "command", "command to run",
      cxxopts::value<std::string>()->default_value("help"))(
      "arguments", "arguments of the command",
      cxxopts::value<std::vector<std::string>>());
  out.parse_positional({"command", "arguments"});
  return out;
}

int Main(int argc, char** argv) {
  auto options = MakeOptions();
  const auto args = options.parse(argc, argv);
  const auto commands = AllCommands();
  auto name = args["command"].as<std::string>();
  const bool help = name == "help" || args.count("help") > 0;
  if (name == "help" && args.count("arguments") > 0) {
    name = args["arguments"].as<std::vector<std::string>>().front();
  }
  if (name == "help") {
    std::cout << options.help({""}) << "\n";
    PrintCommands();
    return kExitOk;
  }
  const auto* command = FindCommand(commands, name);
  if (command == nullptr) {
    return ReportUnknownCommand(name);
  }
  if (help) {
    PrintHelpPage(*command);
    return kExitOk;
  }
  return RunCommand(*command, args);
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
