#ifndef TOOL_COMMAND_H_
#define TOOL_COMMAND_H_

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/loop.h"

namespace comfreyfold {

// The input of a command: its options, arguments and fiber.
struct CommandContext {
  Fiber& fiber;
  // ip:port of the key-value service, and of each daemon to query.
  std::string key_value_address;
  std::vector<std::string> daemon_addresses;
  std::vector<std::string> arguments;  // After the command's name.
  bool json = false;
  int lane = -1;         // --lane; -1: every lane.
  std::string customer;  // --customer; empty: every customer.
  bool dry_run = false;
  // --wait: how long all daemons together have to confirm a change.
  std::chrono::seconds confirm_timeout{18};
};

// Exit codes of the tool.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;    // The operation failed.
inline constexpr int kExitUsage = 2;     // Invalid command line.
inline constexpr int kExitConflict = 3;  // Another change was written first.
inline constexpr int kExitUnknown = 4;   // The change may have been written.
inline constexpr int kExitNotConfirmed =
    5;  // Written, but not in force on every daemon.

// Reports an invalid command line; the tool exits with kExitUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the address of the key-value service. Throws UsageError if none is
// configured.
const std::string& RequireKeyValueAddress(const CommandContext& context);

// One line of a help page: an option or exit code and its meaning.
struct HelpLine {
  std::string term;
  std::string text;
};

// A command of the tool and the contents of its help page.
struct Command {
  std::string name;
  std::string synopsis;
  std::string description;
  std::string example;
  std::function<int(CommandContext&)> run;
  std::vector<HelpLine> options;
  std::vector<HelpLine> exit_codes;
};

// Returns every command, in the order in which the help lists them.
std::vector<Command> AllCommands();

// Prints the help page of `command`.
void PrintHelpPage(const Command& command);

}  // namespace comfreyfold

#endif  // TOOL_COMMAND_H_
