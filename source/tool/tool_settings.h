#ifndef TOOL_TOOL_SETTINGS_H_
#define TOOL_TOOL_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

namespace comfreyfold {

// The settings file of the tool (--config), which saves giving the addresses
// with every command.
struct ToolSettings {
  std::string key_value_address;
  std::vector<std::string> daemon_addresses;
  // How long all daemons together have to confirm a change.
  std::chrono::seconds confirm_timeout{18};
};

// Reads and validates a settings file. Throws IniError, or std::runtime_error
// if the file cannot be opened.
ToolSettings ReadToolSettings(const std::string& file);

// Returns the whole text of a file. Throws std::runtime_error if it cannot be
// opened.
std::string ReadTextFile(const std::string& file);

}  // namespace comfreyfold

#endif  // TOOL_TOOL_SETTINGS_H_
