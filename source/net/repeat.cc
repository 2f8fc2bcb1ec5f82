#include "net/repeat.h"

#include <array>
#include <cstdio>
#include <exception>

#include "net/loop_impl.h"

namespace comfreyfold {

namespace {

constexpr std::chrono::milliseconds kPauseAfterFailure{250};
constexpr std::size_t kMaxReportBytes = 512;

// Allocates nothing, because memory may be what lacks.
void Report(Loop& loop, const char* name, const char* what) {
  if (!loop.impl().on_error) {
    return;
  }
  std::array<char, kMaxReportBytes> line{};
  static_cast<void>(std::snprintf(line.data(), line.size(),
                                  "%s failed and goes on: %s", name, what));
  loop.impl().on_error(line.data());
}

}  // namespace

// Only std::exception is caught, see Loop::Spawn.
bool RunReporting(Loop& loop,
                  const char* name,
                  const std::function<void()>& step) {
  try {
    step();
    return true;
  } catch (const std::exception& e) {
    Report(loop, name, e.what());
    return false;
  }
}

void Repeat(Fiber& fiber, const char* name, const std::function<bool()>& step) {
  bool goes_on = true;
  while (goes_on) {
    if (!RunReporting(fiber.loop(), name, [&] { goes_on = step(); })) {
      fiber.Sleep(kPauseAfterFailure);
    }
  }
}

void RepeatForever(Fiber& fiber,
                   const char* name,
                   const std::function<void()>& step) {
  Repeat(fiber, name, [&step] {
    step();
    return true;
  });
}

}  // namespace comfreyfold
