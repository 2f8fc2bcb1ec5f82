// One disk: what a restart finds after old segments of its log were removed.

#include <stdlib.h>

#include <algorithm>
#include <filesystem>

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "storage/storage_node.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kSegmentsFilled = 3;
constexpr std::size_t kTurnBytes = 1024 * 1024;

TokenUse UseOf(const std::string& request, milliseconds expires_at) {
  TokenUse out;
  out.program = "p";
  out.request = request;
  out.tokens = 16;
  out.settled = true;
  out.expires_at = expires_at;
  return out;
}

// Writes turns that have expired, until a later segment of the log is written.
void FillSegments(Fiber& fiber, StorageNode& node) {
  const auto first = node.disk_log().current_segment();
  for (int n = 0; node.disk_log().current_segment() < first + kSegmentsFilled;
       ++n) {
    StorageRequest request;
    request.turns.push_back({"t" + std::to_string(first) + std::to_string(n),
                             "", std::string(kTurnBytes, 'x'), "",
                             WallNow() - milliseconds(1)});
    const bool stored = node.StoreCopied(fiber, std::move(request));
    BOOST_REQUIRE(stored);
  }
}

BOOST_AUTO_TEST_SUITE(storage_node)

// Segments were removed when the uses in them had expired, although a program
// lived on by later uses. After a restart it got its budget again.
BOOST_AUTO_TEST_CASE(restart_knows_all_uses_of_a_program_that_lives) {
  std::string name =
      (std::filesystem::temp_directory_path() / "comfreyfold-XXXXXX").string();
  const std::string folder = mkdtemp(name.data());
  Loop loop;
  FleetView view;
  DecisionLog log("disk");
  const auto make_node = [&] {
    return std::make_unique<StorageNode>(loop, view, log, folder, 1, 0, 0);
  };
  std::size_t known = 0;
  loop.Spawn([&](Fiber& fiber) {
    auto node = make_node();
    StorageRequest early;
    early.uses = {UseOf("r1", WallNow() + milliseconds(1))};
    BOOST_REQUIRE(node->StoreCopied(fiber, early));
    const auto first = node->disk_log().current_segment();
    FillSegments(fiber, *node);
    StorageRequest late;
    late.uses = {UseOf("r2", WallNow() + milliseconds(60000))};
    BOOST_REQUIRE(node->StoreCopied(fiber, late));
    // Once to move the uses, once to remove the segment.
    const auto is_removed = [&] {
      return !std::filesystem::exists(folder + "/segment-" +
                                      std::to_string(first));
    };
    for (int n = 0; n < 100 && !is_removed(); ++n) {
      node->Expire();
      fiber.Sleep(milliseconds(10));
    }
    node.reset();
    node = make_node();
    known = node->tokens().ForProgram("p").size();
    node.reset();
  });
  loop.Run();
  BOOST_TEST(known == 2U);
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
