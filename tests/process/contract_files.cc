#include "process/contract_files.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace comfreyfold::process {

ContractFiles::ContractFiles()
    : folder_((std::filesystem::temp_directory_path() / "contracts-XXXXXX")
                  .string()) {
  if (mkdtemp(folder_.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
}

ContractFiles::~ContractFiles() {
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

std::string ContractFiles::Write(const std::string& name,
                                 const std::string& text) {
  const auto path = folder_ + "/" + name + ".ini";
  std::ofstream(path) << text;
  return path;
}

}  // namespace comfreyfold::process
