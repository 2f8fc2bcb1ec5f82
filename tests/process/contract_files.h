#ifndef PROCESS_CONTRACT_FILES_H_
#define PROCESS_CONTRACT_FILES_H_

#include <string>

namespace comfreyfold::process {

// Contract files of one test, gone when it ends.
class ContractFiles {
 public:
  ContractFiles();
  ~ContractFiles();
  ContractFiles(const ContractFiles&) = delete;
  ContractFiles& operator=(const ContractFiles&) = delete;

  // Writes `text` to `name`.ini and returns its path.
  std::string Write(const std::string& name, const std::string& text);

 private:
  std::string folder_;
};

}  // namespace comfreyfold::process

#endif  // PROCESS_CONTRACT_FILES_H_
