#ifndef CORE_INI_READER_H_
#define CORE_INI_READER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/contract.h"

namespace comfreyfold {

// One key of an INI text.
struct IniValue {
  std::string section;
  std::string key;
  std::string text;
};

// Reads typed values from INI text (Boost.PropertyTree) and remembers the
// line of each key, so that every fault can be shown where it stands.
class IniReader {
 public:
  // A syntax error becomes a fault; all keys then read as absent.
  IniReader(const std::string& text, std::string file);

  bool Has(const std::string& section, const std::string& key) const;

  // Each Take marks the key as known. When it is absent `out` keeps its
  // value; when its text is wrong or out of bounds a fault is noted.
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
  // A list separated by commas.
  void Read(const std::string& section,
            const std::string& key,
            std::vector<std::string>& out);

  void Require(const std::string& section, const std::string& key);
  void AddFault(const std::string& section,
                const std::string& key,
                const std::string& message);

  // Every key that could be read, by section and name.
  std::vector<IniValue> Values() const;

  // Sections whose name is `prefix` and a space and more, as in [tool book].
  std::vector<std::string> SectionsWith(const std::string& prefix) const;

  // Notes every key that no Take asked for, then throws IniError if there
  // is any fault.
  void Finish();

 private:
  struct Value {
    std::string text;
    int line = 0;
    bool known = false;
  };
  void NoteEmptySections(const std::string& text);
  int LineOf(const std::string& section, const Value* value) const;
  Value* Find(const std::string& section, const std::string& key);

  std::string file_;
  std::map<std::string, std::map<std::string, Value>> sections_;
  std::map<std::string, int> section_lines_;
  std::vector<IniFault> faults_;
};

}  // namespace comfreyfold

#endif  // CORE_INI_READER_H_
