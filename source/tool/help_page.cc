#include <iomanip>
#include <iostream>

#include "tool/command.h"

namespace comfreyfold {

namespace {

constexpr int kTermWidth = 18;

void PrintHeading(const std::string& text) {
  std::cout << text << "\n" << std::string(text.size(), '-') << "\n";
}

void PrintLines(const std::vector<HelpLine>& lines) {
  for (const auto& it : lines) {
    std::cout << "  " << std::left << std::setw(kTermWidth) << it.term
              << it.text << "\n";
  }
}

}  // namespace

void PrintHelpPage(const Command& command) {
  PrintHeading("Synopsis");
  std::cout << "  comfreyfold [options] " << command.synopsis << "\n\n";
  PrintHeading("Description");
  std::cout << "  " << command.description << "\n\n";
  PrintHeading("Options");
  PrintLines(command.options);
  PrintLines({{"--config FILE", "settings file (INI); options override it"},
              {"--kv IP:PORT", "the key-value service"},
              {"--daemons LIST", "daemons to query; default: all members"},
              {"--json", "print JSON instead of text"}});
  std::cout << "\n";
  PrintHeading("Exit codes");
  PrintLines({{"0", "done"}});
  PrintLines(command.exit_codes);
  PrintLines({{"1", "rejected or failed"}, {"2", "invalid command line"}});
  std::cout << "\n";
  PrintHeading("Example");
  std::cout << "  " << command.example << "\n";
}

}  // namespace comfreyfold
