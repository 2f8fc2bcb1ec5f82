#include "core/ini_reader.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/property_tree/ini_parser.hpp>

namespace comfreyfold {

namespace {

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

// Parses a number with its unit, such as 250ms, 5s, 10m or 24h.
bool ParseDuration(const std::string& text, std::chrono::milliseconds& out) {
  std::int64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc()) {
    return false;
  }
  const std::string unit(end, text.data() + text.size());
  if (unit == "ms") {
    out = std::chrono::milliseconds(n);
  } else if (unit == "s") {
    out = std::chrono::seconds(n);
  } else if (unit == "m") {
    out = std::chrono::minutes(n);
  } else if (unit == "h") {
    out = std::chrono::hours(n);
  } else {
    return false;
  }
  return true;
}

bool IsSectionHeader(const std::string& line) {
  return line.size() > 1 && line.front() == '[' && line.back() == ']';
}

// Returns the line numbers of all sections and keys, which the property tree
// does not keep. The map key is the section, a line feed and the key.
std::map<std::string, int> FindKeyLines(const std::string& text) {
  std::map<std::string, int> out;
  std::istringstream in(text);
  std::string line;
  std::string section;
  for (int n = 1; std::getline(in, line); ++n) {
    line = Trim(line);
    if (IsSectionHeader(line)) {
      section = Trim(line.substr(1, line.size() - 2));
      out[section + '\n'] = n;
    } else if (const auto at = line.find('=');
               at != std::string::npos && line.front() != ';') {
      out[section + '\n' + Trim(line.substr(0, at))] = n;
    }
  }
  return out;
}

}  // namespace

IniReader::IniReader(const std::string& text, std::string file)
    : file_(std::move(file)) {
  boost::property_tree::ptree tree;
  std::istringstream in(text);
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& e) {
    faults_.push_back({file_, static_cast<int>(e.line()),
                       e.message() + "; write [section] and key = value, "
                                     "each key once"});
    return;
  }
  const auto lines = FindKeyLines(text);
  const auto line_of = [&lines](const std::string& section,
                                const std::string& key) {
    const auto it = lines.find(section + '\n' + key);
    return it == lines.end() ? 0 : it->second;
  };
  CheckEmptySections(text);
  for (const auto& [section, keys] : tree) {
    if (keys.empty() && !keys.data().empty()) {
      faults_.push_back({file_, line_of("", section),
                         "key '" + section +
                             "' is outside any section; "
                             "move it into one"});
      continue;
    }
    auto& values = sections_[section];
    for (const auto& [key, value] : keys) {
      values[key] = {Trim(value.data()), line_of(section, key)};
    }
  }
}

void IniReader::CheckEmptySections(const std::string& text) {
  // The property tree drops sections without keys, so a misspelled section name
  // would go unnoticed.
  std::istringstream in(text);
  std::string line;
  std::string section;
  int section_line = 0;
  int keys = 0;
  int n = 0;
  const auto check_section = [&] {
    if (section_line > 0 && keys == 0) {
      faults_.push_back({file_, section_line,
                         "[" + section +
                             "]: a section without keys; write its keys or "
                             "remove it"});
    }
  };
  while (std::getline(in, line)) {
    ++n;
    line = Trim(line);
    if (IsSectionHeader(line)) {
      check_section();
      section = Trim(line.substr(1, line.size() - 2));
      section_line = n;
      section_lines_.emplace(section, n);
      keys = 0;
    } else if (line.find('=') != std::string::npos && line.front() != ';') {
      ++keys;
    }
  }
  check_section();
}

IniReader::Value* IniReader::Find(const std::string& section,
                                  const std::string& key) {
  const auto it = sections_.find(section);
  if (it == sections_.end()) {
    return nullptr;
  }
  const auto value = it->second.find(key);
  return value == it->second.end() ? nullptr : &value->second;
}

bool IniReader::Has(const std::string& section, const std::string& key) const {
  const auto it = sections_.find(section);
  return it != sections_.end() && it->second.contains(key);
}

void IniReader::AddFault(const std::string& section,
                         const std::string& key,
                         const std::string& message) {
  const auto* value = Find(section, key);
  std::string where = "[" + section + "] " + key;
  if (value != nullptr) {
    where += " = '" + value->text + "'";
  }
  faults_.push_back({file_, LineOf(section, value), where + ": " + message});
}

int IniReader::LineOf(const std::string& section, const Value* value) const {
  if (value != nullptr) {
    return value->line;
  }
  // A fault about an absent key is reported at its section.
  const auto it = section_lines_.find(section);
  return it == section_lines_.end() ? 1 : it->second;
}

void IniReader::Require(const std::string& section, const std::string& key) {
  if (!Has(section, key)) {
    AddFault(section, key, "missing; add it");
  }
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     std::string& out) {
  if (auto* value = Find(section, key)) {
    value->known = true;
    out = value->text;
  }
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     bool& out) {
  auto* value = Find(section, key);
  if (value == nullptr) {
    return;
  }
  value->known = true;
  if (value->text != "true" && value->text != "false") {
    AddFault(section, key, "write true or false");
    return;
  }
  out = value->text == "true";
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     std::int64_t& out,
                     std::int64_t low,
                     std::int64_t high) {
  auto* value = Find(section, key);
  if (value == nullptr) {
    return;
  }
  value->known = true;
  std::int64_t n = 0;
  const auto* end = value->text.data() + value->text.size();
  const auto [at, ec] = std::from_chars(value->text.data(), end, n);
  if (ec != std::errc() || at != end || n < low || n > high) {
    AddFault(section, key,
             "write a whole number from " + std::to_string(low) + " to " +
                 std::to_string(high));
    return;
  }
  out = n;
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     int& out,
                     int low,
                     int high) {
  std::int64_t n = out;
  Read(section, key, n, low, high);
  out = static_cast<int>(n);
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     std::chrono::milliseconds& out,
                     std::chrono::milliseconds low,
                     std::chrono::milliseconds high) {
  auto* value = Find(section, key);
  if (value == nullptr) {
    return;
  }
  value->known = true;
  std::chrono::milliseconds n{};
  if (!ParseDuration(value->text, n) || n < low || n > high) {
    AddFault(section, key,
             "write a duration with its unit (ms, s, m, h) from " +
                 std::to_string(low.count()) + "ms to " +
                 std::to_string(high.count()) + "ms");
    return;
  }
  out = n;
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     std::chrono::seconds& out,
                     std::chrono::seconds low,
                     std::chrono::seconds high) {
  std::chrono::milliseconds n = out;
  Read(section, key, n, low, high);
  out = std::chrono::duration_cast<std::chrono::seconds>(n);
}

void IniReader::Read(const std::string& section,
                     const std::string& key,
                     std::vector<std::string>& out) {
  auto* value = Find(section, key);
  if (value == nullptr) {
    return;
  }
  value->known = true;
  out.clear();
  std::istringstream in(value->text);
  for (std::string it; std::getline(in, it, ',');) {
    it = Trim(it);
    if (!it.empty()) {
      out.push_back(it);
    }
  }
}

std::vector<IniValue> IniReader::Values() const {
  std::vector<IniValue> out;
  for (const auto& [section, values] : sections_) {
    for (const auto& [key, value] : values) {
      out.push_back({section, key, value.text});
    }
  }
  return out;
}

std::vector<std::string> IniReader::SectionsWithPrefix(
    const std::string& prefix) const {
  std::vector<std::string> out;
  for (const auto& [name, values] : sections_) {
    if (name.rfind(prefix + " ", 0) == 0) {
      out.push_back(name);
    }
  }
  return out;
}

void IniReader::Finish() {
  for (const auto& [section, values] : sections_) {
    for (const auto& [key, value] : values) {
      if (!value.known) {
        faults_.push_back({file_, value.line,
                           "[" + section + "] " + key +
                               ": unknown key; remove it or check its name "
                               "and section"});
      }
    }
  }
  if (faults_.empty()) {
    return;
  }
  std::stable_sort(
      faults_.begin(), faults_.end(),
      [](const IniFault& a, const IniFault& b) { return a.line < b.line; });
  throw IniError(faults_);
}

}  // namespace comfreyfold
