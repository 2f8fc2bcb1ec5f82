#ifndef REVIEW_HARNESS_2_RECORD_H_
#define REVIEW_HARNESS_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <string>

namespace comfreyfold::review {

// The record of a run: a line for each thing that was sent, answered or done.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path, std::ios::trunc) {}

  void Write(const std::string& line) {
    out_ << SinceStart().count() << " ms  " << line << std::endl;
  }
  std::chrono::milliseconds SinceStart() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start_);
  }

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  std::ofstream out_;
};

}  // namespace comfreyfold::review

#endif  // REVIEW_HARNESS_2_RECORD_H_
