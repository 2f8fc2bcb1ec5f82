#ifndef CORE_INI_READER_H_
#define CORE_INI_READER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/contract.h"

namespace comfreyfold {

// One key of an INI file with its value.
struct IniValue {
  std::string section;
  std::string key;
  std::string text;
};

// Reads typed values from INI text (Boost.PropertyTree) and keeps the line
// number of each key, so that each fault is reported with its location.
class IniReader {
 public:
  // `file` is the name used in messages. A syntax error is recorded as a fault,
  // and all keys are then treated as absent.
  IniReader(const std::string& text, std::string file);

  bool Has(const std::string& section, const std::string& key) const;

  // Each Read marks the key as known. If the key is absent, `out` keeps its
  // value. If its text is invalid or out of range, a fault is recorded and
  // `out` keeps its value.
  void Read(const std::string& section,
            const std::string& key,
            std::string& out);
  void Read(const std::string& section, const std::string& key, bool& out);
  void Read(const std::string& section,
            const std::string& key,
            std::int64_t& out,
            std::int64_t low,
            std::int64_t high);
  void Read(const std::string& section,
            const std::string& key,
            int& out,
            int low,
            int high);
  void Read(const std::string& section,
            const std::string& key,
            std::chrono::milliseconds& out,
            std::chrono::milliseconds low,
            std::chrono::milliseconds high);
  void Read(const std::string& section,
            const std::string& key,
            std::chrono::seconds& out,
            std::chrono::seconds low,
            std::chrono::seconds high);
  // Reads a comma-separated list.
  void Read(const std::string& section,
            const std::string& key,
            std::vector<std::string>& out);

  // Records a fault if the key is absent.
  void Require(const std::string& section, const std::string& key);
  // Records a fault at the line of the key, or of its section if the key is
  // absent.
  void AddFault(const std::string& section,
                const std::string& key,
                const std::string& message);

  // All keys with their values, ordered by section and key.
  std::vector<IniValue> Values() const;

  // Sections whose name starts with `prefix` and a space, as in [tool book].
  std::vector<std::string> SectionsWithPrefix(const std::string& prefix) const;

  // Records a fault for each key that was never read, then throws IniError if
  // there is any fault.
  void Finish();

 private:
  struct Value {
    std::string text;
    int line = 0;
    bool known = false;
  };
  void CheckEmptySections(const std::string& text);
  int LineOf(const std::string& section, const Value* value) const;
  Value* Find(const std::string& section, const std::string& key);

  std::string file_;
  std::map<std::string, std::map<std::string, Value>> sections_;
  std::map<std::string, int> section_lines_;  // First line of each section.
  std::vector<IniFault> faults_;
};

}  // namespace comfreyfold

#endif  // CORE_INI_READER_H_
