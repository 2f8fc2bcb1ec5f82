#ifndef TOOL_TOOL_SETTINGS_H_
#define TOOL_TOOL_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

namespace comfreyfold {

// What the tool reads from --config, so that addresses need not be given
// with every command.
struct ToolSettings {
  std::string key_value;
  std::vector<std::string> daemons;
  std::chrono::seconds wait{18};
};

// Reads and checks a settings file. Throws IniError, or std::runtime_error
// when the file cannot be read.
ToolSettings ReadToolSettings(const std::string& file);

// A file's whole text. Throws std::runtime_error.
std::string ReadTextFile(const std::string& file);

}  // namespace comfreyfold

#endif  // TOOL_TOOL_SETTINGS_H_
