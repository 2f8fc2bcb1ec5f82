#ifndef TOOL_COMMAND_H_
#define TOOL_COMMAND_H_

#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/loop.h"

namespace comfreyfold {

// What every command is given.
struct CommandContext {
  Fiber& fiber;
  std::string key_value;               // ip:port of the key-value service.
  std::vector<std::string> daemons;    // ip:port of each daemon to ask.
  std::vector<std::string> arguments;  // After the command's name.
  bool json = false;
  int lane = -1;         // --lane; -1: every lane.
  std::string customer;  // --customer; empty: every customer.
  bool dry_run = false;
  std::chrono::seconds wait{18};  // For every daemon to confirm a change.
};

// Exit codes of the tool.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;    // The system said no.
inline constexpr int kExitUsage = 2;     // The command line is wrong.
inline constexpr int kExitConflict = 3;  // Another operator was quicker.
inline constexpr int kExitUnknown = 4;   // Not known whether it took effect.
inline constexpr int kExitNotConfirmed =
    5;  // Written, not in force everywhere.

// The command line is wrong: ends the tool with kExitUsage.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The address of the key-value service. Throws UsageError when none is named.
const std::string& KeyValueOf(const CommandContext& context);

// One line of a help page: an option, or an exit code, and what it means.
struct HelpLine {
  std::string term;
  std::string text;
};

// One command of the tool and its help page.
struct Command {
  std::string name;
  std::string synopsis;
  std::string brief;
  std::string example;
  std::function<int(CommandContext&)> run;
  std::vector<HelpLine> options;
  std::vector<HelpLine> exit_codes;
};

// Every command, in the order of the help page.
std::vector<Command> AllCommands();

// Prints the page of `command`.
void PrintPage(const Command& command);

}  // namespace comfreyfold

#endif  // TOOL_COMMAND_H_
