#include "tool/tool_settings.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

#include "core/ini_reader.h"

namespace comfreyfold {

std::string ReadTextFile(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  // An empty file sets failbit on the copy; only the opening tells.
  if (!in) {
    throw std::runtime_error(file + ": cannot be read; check its name");
  }
  text << in.rdbuf();
  return text.str();
}

ToolSettings ReadToolSettings(const std::string& file) {
  ToolSettings out;
  IniReader reader(ReadTextFile(file), file);
  reader.Read("tool", "key_value", out.key_value);
  reader.Read("tool", "daemons", out.daemons);
  reader.Read("tool", "wait", out.wait, std::chrono::seconds(1),
              std::chrono::minutes(10));
  reader.Finish();
  return out;
}

}  // namespace comfreyfold
