#include "process/contract_files.h"

#include <filesystem>
#include <fstream>
#include <system_error>

#include "harness/test_folder.h"

namespace comfreyfold::process {

ContractFiles::ContractFiles() : folder_(harness::MakeTestFolder()) {}

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
