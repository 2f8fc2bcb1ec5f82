#include "harness/test_folder.h"

#include <unistd.h>

#include <cstdlib>
#include <stdexcept>
#include <string>

namespace comfreyfold::harness {

namespace fs = std::filesystem;

namespace {
constexpr char kMemoryFileSystem[] = "/dev/shm";
}  // namespace

// Daemons report writes as failed that take long. Whether they do must not
// depend on what else writes to the disk of the machine.
fs::path TestRoot() {
  const bool chosen = std::getenv("TMPDIR") != nullptr;
  return !chosen && ::access(kMemoryFileSystem, W_OK | X_OK) == 0
             ? fs::path(kMemoryFileSystem)
             : fs::temp_directory_path();
}

fs::path MakeTestFolder() {
  auto name = (TestRoot() / "comfreyfold-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder in " +
                             TestRoot().string());
  }
  return name;
}

}  // namespace comfreyfold::harness
