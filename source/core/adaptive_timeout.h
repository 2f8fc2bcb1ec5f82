#ifndef CORE_ADAPTIVE_TIMEOUT_H_
#define CORE_ADAPTIVE_TIMEOUT_H_

#include <chrono>

namespace comfreyfold {

// The time after which a daemon that has not answered is taken for unreachable.
// It follows the time that answers take, so that a daemon that becomes slow
// under load is not taken for a dead one.
class AdaptiveTimeout {
 public:
  AdaptiveTimeout(std::chrono::milliseconds least,
                  std::chrono::milliseconds most)
      : least_(least), most_(most) {}

  void OnAnswer(std::chrono::milliseconds took);
  // Records that no answer came within Get(), which doubles.
  void OnMiss();
  std::chrono::milliseconds Get() const;

 private:
  std::chrono::milliseconds least_;
  std::chrono::milliseconds most_;
  std::chrono::duration<double, std::milli> usual_{0};  // Smoothed.
};

}  // namespace comfreyfold

#endif  // CORE_ADAPTIVE_TIMEOUT_H_
