#ifndef HARNESS_TEST_FOLDER_H_
#define HARNESS_TEST_FOLDER_H_

#include <filesystem>

namespace comfreyfold::harness {

// Where tests keep their files: $TMPDIR, or else in memory if the machine has
// such a file system.
std::filesystem::path TestRoot();

// Creates a folder there, which is removed when the program ends, at the
// latest. If the environment variable COMFREYFOLD_KEEP_LOGS is set, it stays.
std::filesystem::path MakeTestFolder();
bool KeepsTestFolders();

}  // namespace comfreyfold::harness

#endif  // HARNESS_TEST_FOLDER_H_
