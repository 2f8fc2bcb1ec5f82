// Loops of a daemon that must go on after an exception that nobody expects.

#include <filesystem>
#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "fleet/fleet_sync.h"
#include "harness/test_folder.h"
#include "storage/storage_membership_manager.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{5};

bool WaitFor(Fiber& fiber, const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    fiber.Sleep(milliseconds(1));
  }
  return condition();
}

// A daemon that follows the configuration of another one. `decode` is called
// with the version of the configuration, and `choose_sources` before each round
// of queries; both may throw. Returns whether the daemon follows from version 1
// to version 2.
bool FollowsFleet(const std::function<void(std::int64_t)>& decode,
                  const std::function<void(std::int64_t)>& choose_sources) {
  // Never destroyed: queries under way refer to the other objects.
  auto& loop = *new Loop;
  HttpClient http(loop);
  FleetView view;
  DecisionLog log("front");
  std::int64_t version = 1;
  HttpServer source(loop,
                    [&](Fiber&, const HttpRequest&, HttpExchange& exchange) {
                      FleetNews news;
                      news.config_version = version;
                      news.config_text = std::to_string(version);
                      exchange.Reply(200, "", Encode(news));
                    });
  const auto address = source.Listen("127.0.0.1:0");
  FleetSync sync(loop, http, view, log, [&](const std::string& text) {
    RoutingConfig out;
    out.version = std::stoll(text);
    decode(out.version);
    return out;
  });
  sync.SetMaxAge(std::chrono::seconds(1));
  sync.SetInterval([] { return kInterval; });
  sync.SetSources([&] {
    choose_sources(view.config() ? view.config()->version : 0);
    return std::vector<std::string>{address};
  });
  bool follows = false;
  loop.Spawn([&](Fiber& fiber) { sync.Run(fiber); });
  loop.Spawn([&](Fiber& fiber) {
    const auto has_current = [&] {
      return view.config() && view.config()->version == version;
    };
    BOOST_TEST(WaitFor(fiber, has_current));
    version = 2;
    follows = WaitFor(fiber, has_current);
    loop.Stop();
  });
  loop.Run();
  return follows;
}

// Throws an exception that is no std::runtime_error at the first `times` calls
// with `version`.
std::function<void(std::int64_t)> ThrowAt(std::int64_t version, int times) {
  auto thrown = std::make_shared<int>(0);
  return [thrown, version, times](std::int64_t current) {
    if (current == version && *thrown < times) {
      ++*thrown;
      throw std::out_of_range("no such entry");
    }
  };
}

// A store without keys that throws something unexpected at the first read.
class StoreThatThrowsOnce : public KvStore {
 public:
  std::optional<KvItem> Get(Fiber& /*fiber*/,
                            const std::string& /*key*/) override {
    if (++reads_ == 1) {
      throw std::out_of_range("no such entry");
    }
    return std::nullopt;
  }
  KvRange Prefix(Fiber& /*fiber*/, const std::string& /*prefix*/) override {
    return {};
  }
  KvTxnResult Commit(Fiber& /*fiber*/, const KvTxn& /*txn*/) override {
    return {true, 1};
  }
  void Watch(Fiber& fiber,
             const std::string& /*prefix*/,
             std::int64_t /*from_revision*/,
             std::chrono::milliseconds idle,
             const std::function<void(std::int64_t)>& /*on_change*/) override {
    fiber.Sleep(idle);
  }

 private:
  int reads_ = 0;
};

BOOST_AUTO_TEST_SUITE(failing_steps)

// The daemon kept its configuration and its servers until it was restarted.
BOOST_AUTO_TEST_CASE(fleet_state_is_followed_after_news_that_make_it_throw) {
  BOOST_TEST(FollowsFleet(ThrowAt(2, 1), [](std::int64_t) {}));
}

BOOST_AUTO_TEST_CASE(fleet_state_is_followed_after_a_round_that_threw) {
  // The first call is that of a query.
  BOOST_TEST(FollowsFleet([](std::int64_t) {}, ThrowAt(1, 2)));
}

// The disk took no further part in changes of the list.
BOOST_AUTO_TEST_CASE(disk_takes_part_in_changes_after_a_step_that_threw) {
  const std::string folder = harness::MakeTestFolder();
  Loop loop;
  HttpClient http(loop);
  FleetView view;
  DecisionLog log("disk");
  StoreThatThrowsOnce store;
  {
    StorageNode node(loop, view, log, folder, 1, 0, 0);
    StorageMembershipManager manager(
        loop, http, store, view, node, log,
        {node.disk(), "vm-1", "127.0.0.1:1", "north"}, 1, milliseconds(5000),
        true);
    bool ended = false;
    loop.Spawn([&](Fiber& fiber) {
      manager.Run(fiber);
      ended = true;
    });
    loop.Spawn([&](Fiber& fiber) {
      BOOST_TEST(
          WaitFor(fiber, [&] { return view.storage_list().version == 1; }));
      manager.Stop();
      BOOST_TEST(WaitFor(fiber, [&] { return ended; }));
      loop.Stop();
    });
    loop.Run();
  }
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
