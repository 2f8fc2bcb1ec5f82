#include "tool/tool_settings.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "core/ini_reader.h"

namespace comfreyfold {

std::string ReadTextFile(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  // Only the opening is checked: copying an empty file sets failbit on `text`,
  // although nothing is wrong.
  if (!in) {
    throw std::runtime_error(file + ": cannot be opened; check the file name");
  }
  text << in.rdbuf();
  return text.str();
}

ToolSettings ReadToolSettings(const std::string& file) {
  ToolSettings out;
  IniReader reader(ReadTextFile(file), file);
  reader.Read("tool", "key_value", out.key_value_address);
  reader.Read("tool", "daemons", out.daemon_addresses);
  reader.Read("tool", "wait", out.confirm_timeout, std::chrono::seconds(1),
              std::chrono::minutes(10));
  reader.Finish();
  return out;
}

}  // namespace comfreyfold
