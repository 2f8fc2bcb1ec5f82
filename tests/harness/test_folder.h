#ifndef HARNESS_TEST_FOLDER_H_
#define HARNESS_TEST_FOLDER_H_

#include <filesystem>

namespace comfreyfold::harness {

// Where tests keep their files: $TMPDIR, or else in memory if the machine has
// such a file system.
std::filesystem::path TestRoot();

// Creates a folder there, for the caller to remove.
std::filesystem::path MakeTestFolder();

}  // namespace comfreyfold::harness

#endif  // HARNESS_TEST_FOLDER_H_
