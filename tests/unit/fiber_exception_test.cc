#include <stdexcept>
#include <string>

#include <boost/test/unit_test.hpp>

#include "net/loop.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

// Throws an exception and waits in its handler while other coroutines do the
// same. Returns the text of the exception that the outer handler catches.
std::string WaitInHandler(Fiber& fiber,
                          const std::string& text,
                          milliseconds wait) {
  std::string out;
  try {
    try {
      throw std::runtime_error(text);
    } catch (const std::runtime_error&) {
      fiber.Sleep(wait);
      throw;
    }
  } catch (const std::runtime_error& e) {
    fiber.Sleep(wait);
    out = e.what();
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(fiber_exceptions)

// Guards against coroutines that share the exception state of their thread:
// handlers that overlap without being nested then end each other's exceptions.
BOOST_AUTO_TEST_CASE(overlapping_handlers_keep_their_exceptions) {
  Loop loop;
  std::string first;
  std::string second;
  int uncaught = 0;
  loop.OnError([&uncaught](const char*) { ++uncaught; });
  loop.Spawn([&first](Fiber& fiber) {
    first = WaitInHandler(fiber, "of the first", milliseconds(20));
  });
  loop.Spawn([&second](Fiber& fiber) {
    second = WaitInHandler(fiber, "of the second", milliseconds(30));
  });
  loop.Run();
  BOOST_TEST(first == "of the first");
  BOOST_TEST(second == "of the second");
  BOOST_TEST(uncaught == 0);
}

BOOST_AUTO_TEST_SUITE_END()

// Starts a coroutine that waits immediately, from within a handler that then
// rethrows its exception.
std::string SpawnInHandler(Fiber& fiber) {
  std::string out;
  try {
    try {
      throw std::runtime_error("first");
    } catch (const std::runtime_error&) {
      fiber.loop().Spawn([](Fiber& child) { child.Sleep(milliseconds(1)); });
      throw;
    }
  } catch (const std::runtime_error& e) {
    out = e.what();
  }
  return out;
}

BOOST_AUTO_TEST_CASE(handler_that_starts_a_coroutine_keeps_its_exception) {
  Loop loop;
  std::string out;
  loop.Spawn([&out](Fiber& fiber) { out = SpawnInHandler(fiber); });
  loop.Run();
  BOOST_TEST(out == "first");
}

}  // namespace
}  // namespace comfreyfold
