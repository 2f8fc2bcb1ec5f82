#include "process_usage.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace comfreyfold::bench {

namespace {
constexpr std::int64_t kBytesPerKilobyte = 1024;
}  // namespace

ProcessUsage ReadUsage(int pid) {
  const auto folder = "/proc/" + std::to_string(pid);
  ProcessUsage out;
  std::error_code ec;
  for (const auto& task :
       std::filesystem::directory_iterator(folder + "/task", ec)) {
    std::int64_t on_processor = 0;
    std::ifstream(task.path() / "schedstat") >> on_processor;
    out.processor += std::chrono::nanoseconds(on_processor);
  }
  std::ifstream status(folder + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmRSS:") {
      status >> out.resident_bytes;
      out.resident_bytes *= kBytesPerKilobyte;
    }
  }
  return out;
}

}  // namespace comfreyfold::bench
