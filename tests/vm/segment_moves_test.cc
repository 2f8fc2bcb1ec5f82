// Turns that are moved within the log of a disk that loses power meanwhile.

#include <algorithm>
#include <filesystem>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "harness/test_folder.h"
#include "storage/storage_node.h"
#include "vm/disk_gate.h"

namespace comfreyfold {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

constexpr std::int64_t kMemory = 24000;
constexpr std::int64_t kDisk = 16L * 1024 * 1024;
constexpr std::size_t kMegabyte = 1024 * 1024;

void Await(Fiber& fiber, const std::function<bool()>& what) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!what() && std::chrono::steady_clock::now() < until) {
    fiber.Sleep(milliseconds(1));
  }
  BOOST_REQUIRE(what());
}

// Runs `body` with a disk on `folder`, without a network.
void WithNode(const std::string& folder,
              const std::function<void(Fiber&, StorageNode&)>& body) {
  Loop loop;
  FleetView view;
  DecisionLog log("disk");
  auto node =
      std::make_unique<StorageNode>(loop, view, log, folder, 1, kDisk, kMemory);
  loop.Spawn([&](Fiber& fiber) {
    body(fiber, *node);
    Await(fiber, [&node] { return !node->compacting(); });
    node.reset();
    loop.Stop();
  });
  loop.Run();
}

bool Store(Fiber& fiber,
           StorageNode& node,
           const std::string& id,
           const std::string& input,
           milliseconds expires_at) {
  StorageRequest request;
  request.turns = {{id, "", input, "out", expires_at}};
  return node.StoreCopied(fiber, std::move(request));
}

milliseconds Later() {
  return WallNow() + std::chrono::minutes(10);
}
milliseconds Expired() {
  return WallNow() - milliseconds(1);
}

bool HasTurn(Fiber& fiber,
             StorageNode& node,
             const std::string& id,
             const std::string& input) {
  std::vector<TurnRecord> turns;
  const auto read = node.ReadTurns(
      fiber, {id}, std::numeric_limits<std::size_t>::max(), turns);
  return read && turns.size() == 1 && turns.front().input == input;
}

// Takes the states that a loss of power could leave of a disk's log: of what
// was not synced nothing, all or a torn part, and removed segments may be back.
class PowerLosses {
 public:
  struct State {
    std::string folder;
    std::map<std::string, std::string> kept;  // Inputs of turns by id.
  };

  PowerLosses(std::string folder, unsigned seed)
      : folder_(std::move(folder)),
        links_(harness::MakeTestFolder().string()),
        random_(seed) {}
  ~PowerLosses() {
    for (const auto& it : states_) {
      fs::remove_all(it.folder);
    }
    fs::remove_all(links_);
  }
  PowerLosses(const PowerLosses&) = delete;
  PowerLosses& operator=(const PowerLosses&) = delete;

  // The turn has been reported as stored.
  void OnStored(const std::string& id, const std::string& input) {
    const std::lock_guard lock(mutex_);
    kept_[id] = input;
  }
  // Runs in the thread that writes: all before has been synced.
  void BeforeWrite() {
    const std::lock_guard lock(mutex_);
    Sizes sizes;
    for (const auto& it : fs::directory_iterator(folder_)) {
      const auto name = it.path().filename().string();
      sizes[name] = fs::file_size(it.path());
      if (!fs::exists(links_ + "/" + name)) {
        fs::create_hard_link(it.path(), links_ + "/" + name);
      }
    }
    if (random_() % kWritesPerState == 0) {
      TakeState(sizes, random_() % 2 == 0);
    }
    sizes_ = std::move(sizes);
    kept_before_ = kept_;
  }
  const std::vector<State>& states() const { return states_; }

 private:
  using Sizes = std::map<std::string, std::uintmax_t>;
  static constexpr unsigned kWritesPerState = 4;

  // Power is lost now, or during the write before, which is then not whole.
  void TakeState(const Sizes& sizes, bool during_write) {
    State state{harness::MakeTestFolder().string(),
                during_write ? kept_before_ : kept_};
    for (const auto& it : fs::directory_iterator(links_)) {
      const auto name = it.path().filename().string();
      const auto to = state.folder + "/" + name;
      const auto size = sizes.find(name);
      const auto before = sizes_.find(name);
      const bool is_known = before != sizes_.end();
      if (size == sizes.end()) {
        // Removed: after the write before, or earlier.
        const bool is_there = is_known && during_write;
        if (is_there || random_() % 3 == 0) {
          fs::copy_file(it.path(), to);
        }
        continue;
      }
      if (!is_known && during_write && random_() % 3 == 0) {
        continue;  // Its name was not synced.
      }
      fs::copy_file(it.path(), to);
      const auto synced = is_known ? before->second : 0;
      if (during_write && size->second > synced) {
        fs::resize_file(to, synced + random_() % (size->second - synced + 1));
      }
    }
    states_.push_back(std::move(state));
  }

  std::mutex mutex_;
  const std::string folder_;
  const std::string links_;  // Folder of links to all files.
  std::mt19937 random_;
  Sizes sizes_;  // At the write before.
  std::map<std::string, std::string> kept_;
  std::map<std::string, std::string> kept_before_;
  std::vector<State> states_;
};

// Stores turns that live long among those that have expired, so that segments
// are moved and removed all the time.
void StoreAndMove(Fiber& fiber,
                  StorageNode& node,
                  PowerLosses& losses,
                  unsigned seed) {
  constexpr int kTurns = 60;
  std::mt19937 random(seed);
  node.disk_log().BeforeWrite([&losses](WriteKind) { losses.BeforeWrite(); });
  int running = 0;
  for (int n = 0; n < kTurns; ++n) {
    const bool lives = random() % 3 == 0;
    const auto bytes =
        lives ? 1000 + random() % 60000 : 200000 + random() % 1500000;
    auto id = "t" + std::to_string(seed) + "-" + std::to_string(n);
    auto input = std::string(bytes, static_cast<char>('a' + n % 26));
    ++running;
    fiber.loop().Spawn([&, id, input, lives](Fiber& child) {
      if (Store(child, node, id, input, lives ? Later() : Expired()) && lives) {
        losses.OnStored(id, input);
      }
      --running;
    });
    if (random() % 2 == 0) {
      node.Expire();
    }
    if (random() % 3 == 0) {
      Await(fiber, [&running] { return running == 0; });
    }
  }
  Await(fiber, [&] { return running == 0; });
  for (int n = 0; n < 4; ++n) {
    node.Expire();
    Await(fiber, [&node] { return !node.compacting(); });
  }
}

BOOST_AUTO_TEST_SUITE(segment_moves)

// The segment was removed with the only copy once the turn had been moved.
BOOST_AUTO_TEST_CASE(turn_is_kept_whose_new_segment_ends_before_its_sync) {
  const auto folder = harness::MakeTestFolder().string();
  const std::string input(kMegabyte, 'x');
  const std::string dead(kMegabyte * 33 / 10, 'd');
  DiskGate gate;
  WithNode(folder, [&](Fiber& fiber, StorageNode& node) {
    gate.Guard(node.disk_log());
    BOOST_REQUIRE(Store(fiber, node, "kept", input, Later()));
    BOOST_REQUIRE(
        Store(fiber, node, "d0", std::string(kMegabyte * 2, 'd'), Expired()));
    for (const auto* id : {"d1", "d2", "d3"}) {
      BOOST_REQUIRE(Store(fiber, node, id, dead, Expired()));
    }
    gate.Close();
    node.Expire();
    Await(fiber, [&] { return gate.waiting() == 1; });
    const auto segment = node.disk_log().current_segment();
    bool stored = false;
    fiber.loop().Spawn([&](Fiber& child) {
      stored = Store(child, node, "d4", dead, Expired());
    });
    Await(fiber, [&] { return node.disk_log().current_segment() > segment; });
    node.Expire();
    gate.Open();
    Await(fiber, [&] { return stored && !node.compacting(); });
    node.Expire();
    // Segments are removed before what is written next.
    BOOST_REQUIRE(Store(fiber, node, "d5", "d", Expired()));
    BOOST_TEST(HasTurn(fiber, node, "kept", input));
  });
  WithNode(folder, [&](Fiber& fiber, StorageNode& node) {
    BOOST_TEST(HasTurn(fiber, node, "kept", input));
  });
  fs::remove_all(folder);
}

BOOST_AUTO_TEST_CASE(turns_outlive_losses_of_power_beside_moves_of_segments) {
  constexpr unsigned kSeeds = 4;
  std::size_t checked = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const auto folder = harness::MakeTestFolder().string();
    PowerLosses losses(folder, seed);
    WithNode(folder, [&](Fiber& fiber, StorageNode& node) {
      StoreAndMove(fiber, node, losses, seed);
      // The log was full of dead records.
      BOOST_TEST(node.disk_log_bytes() < kDisk);
    });
    for (const auto& state : losses.states()) {
      WithNode(state.folder, [&](Fiber& fiber, StorageNode& node) {
        node.Expire();
        Await(fiber, [&node] { return !node.compacting(); });
        node.Expire();
        for (const auto& [id, input] : state.kept) {
          BOOST_TEST_CONTEXT("seed " << seed << ", " << state.folder) {
            BOOST_TEST(HasTurn(fiber, node, id, input), id << " is lost");
          }
          ++checked;
        }
      });
    }
    fs::remove_all(folder);
  }
  BOOST_TEST(checked > 0U);
  BOOST_TEST_MESSAGE(checked << " turns read back after losses of power");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
