// A change of the storage members beside disks that are slow, silent or gone.

#include <filesystem>
#include <functional>
#include <limits>
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>

#include "harness/deployment.h"
#include "harness/test_folder.h"
#include "platform/store_client.h"
#include "standins/platform_store.h"
#include "storage/storage_membership_manager.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{10};
constexpr milliseconds kWaitTimeout{40000};
// More than the time for one probe.
constexpr milliseconds kSlowAnswer{3000};

// A disk's daemon that answers its first `slow` requests late.
class Disk {
 public:
  Disk(Loop& loop, int slow)
      : server_(loop,
                [this, slow](Fiber& fiber,
                             const HttpRequest& /*request*/,
                             HttpExchange& exchange) {
                  if (++requests_ <= slow) {
                    fiber.Sleep(kSlowAnswer);
                  }
                  exchange.Reply(200, "", Encode(StorageReply{}));
                  ++answers_;
                }),
        address_(server_.Listen("127.0.0.1:0")) {}
  const std::string& address() const { return address_; }
  int answers() const { return answers_; }

 private:
  HttpServer server_;
  int requests_ = 0;
  int answers_ = 0;
  std::string address_;
};

// A change of three disks: one with the manager under test and one that answers
// have copied, and the third has not.
class Change {
 public:
  explicit Change(Loop& loop)
      : loop_(loop),
        http_(loop),
        store_(loop),
        store_server_(
            loop,
            [this](Fiber& fiber, const HttpRequest& request, HttpExchange& it) {
              store_.Handle(fiber, request, it);
            }),
        client_(http_, store_server_.Listen("127.0.0.1:0"), milliseconds(700)),
        log_("disk"),
        prompt_(loop, 0) {
    folder_ = harness::MakeTestFolder();
    node_ = std::make_unique<StorageNode>(loop, view_, log_, folder_, 1, 0, 0);
  }

  // Starts the change; `third` is the address of the disk that it waits for.
  void Start(Fiber& fiber, const std::string& third) {
    const StorageMember self{node_->disk(), "vm-1", "127.0.0.1:1", "north"};
    StorageList list;
    list.version = 5;
    list.epoch = 3;
    list.members = {self,
                    {"prompt", "vm-2", prompt_.address(), "north"},
                    {"third", "vm-3", third, "north"}};
    list.next = list.members;
    list.synced = {self.disk, "prompt"};
    store_.Put(kStorageListKey, Encode(list));
    BOOST_REQUIRE(node_->Adopt(fiber, list));
    manager_ = std::make_unique<StorageMembershipManager>(
        loop_, http_, client_, view_, *node_, log_, self, 1, false);
    loop_.Spawn([this](Fiber& run_fiber) {
      manager_->Run(run_fiber);
      ended_ = true;
    });
  }
  void Stop(Fiber& fiber) {
    manager_->Stop();
    BOOST_TEST(WaitFor(fiber, [this] { return ended_; }));
    std::filesystem::remove_all(folder_);
  }
  static bool WaitFor(Fiber& fiber, const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      fiber.Sleep(kPollInterval);
    }
    return condition();
  }
  bool HasThird() const {
    return DecodeStorageList(store_.Value(kStorageListKey))
        .IsNextMember("third");
  }

 private:
  Loop& loop_;
  HttpClient http_;
  standins::PlatformStore store_;
  HttpServer store_server_;
  platform::StoreClient client_;
  FleetView view_;
  DecisionLog log_;
  Disk prompt_;
  std::string folder_;
  std::unique_ptr<StorageNode> node_;
  std::unique_ptr<StorageMembershipManager> manager_;
  bool ended_ = false;
};

// Returns whether the disk with the address `third` is still in the change when
// `until` holds or the disk has left.
bool StaysInChange(const std::function<std::string(Loop&)>& third,
                   const std::function<bool()>& until) {
  // Never destroyed: requests under way refer to both.
  auto* loop = new Loop;
  auto* change = new Change(*loop);
  bool stays = false;
  loop->Spawn([&](Fiber& fiber) {
    change->Start(fiber, third(*loop));
    BOOST_TEST(
        Change::WaitFor(fiber, [&] { return until() || !change->HasThird(); }));
    stays = change->HasThird();
    change->Stop(fiber);
    loop->Stop();
  });
  loop->Run();
  return stays;
}

BOOST_AUTO_TEST_SUITE(storage_change)

BOOST_AUTO_TEST_CASE(disk_that_answers_late_is_not_taken_for_dead) {
  const Disk* disk = nullptr;
  BOOST_TEST(StaysInChange(
      [&disk](Loop& loop) {
        disk = new Disk(loop, 2);
        return disk->address();
      },
      [&disk] { return disk->answers() > 2; }));
}

BOOST_AUTO_TEST_CASE(disk_that_refuses_connections_leaves_the_change) {
  BOOST_TEST(
      !StaysInChange([](Loop& loop) { return harness::FreeAddress(loop); },
                     [] { return false; }));
}

BOOST_AUTO_TEST_CASE(disk_that_never_answers_leaves_the_change) {
  BOOST_TEST(!StaysInChange(
      [](Loop& loop) {
        return (new Disk(loop, std::numeric_limits<int>::max()))->address();
      },
      [] { return false; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
