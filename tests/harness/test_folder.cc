#include "harness/test_folder.h"

#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

namespace comfreyfold::harness {

namespace fs = std::filesystem;

namespace {

constexpr char kMemoryFileSystem[] = "/dev/shm";
constexpr char kKeepLogsVariable[] = "COMFREYFOLD_KEEP_LOGS";

// Most deployments are never destroyed, because their coroutines do not end.
struct Folders {
  ~Folders() {
    std::error_code ec;
    for (const auto& it : KeepsTestFolders() ? std::vector<fs::path>{} : made) {
      fs::remove_all(it, ec);
    }
  }
  std::vector<fs::path> made;
};

}  // namespace

bool KeepsTestFolders() {
  return std::getenv(kKeepLogsVariable) != nullptr;
}

// Daemons report writes as failed that take long. Whether they do must not
// depend on what else writes to the disk of the machine.
fs::path TestRoot() {
  const bool chosen = std::getenv("TMPDIR") != nullptr;
  return !chosen && ::access(kMemoryFileSystem, W_OK | X_OK) == 0
             ? fs::path(kMemoryFileSystem)
             : fs::temp_directory_path();
}

fs::path MakeTestFolder() {
  static Folders folders;
  auto name = (TestRoot() / "comfreyfold-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder in " +
                             TestRoot().string());
  }
  folders.made.emplace_back(name);
  return name;
}

}  // namespace comfreyfold::harness
