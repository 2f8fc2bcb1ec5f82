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
constexpr milliseconds kCatchUpTime{5000};
// More than the time for one probe.
constexpr milliseconds kSlowAnswer{3000};

// Those that the client sends to a disk that does not answer a probe.
constexpr int kRequestsOfOneProbe = 4;

// A disk's daemon that answers its first `slow` requests late.
class Disk {
 public:
  Disk(Loop& loop, int slow)
      : server_(loop,
                [this, slow](Fiber& fiber,
                             const HttpRequest& request,
                             HttpExchange& exchange) {
                  const auto decoded = DecodeStorageRequest(request.body);
                  probes_ += decoded.operation == StorageOperation::kAdopt;
                  if (++requests_ <= slow) {
                    fiber.Sleep(kSlowAnswer);
                  }
                  StorageReply reply;
                  reply.status = status_;
                  reply.new_chains_in = new_chains_in_;
                  exchange.Reply(200, "", Encode(reply));
                  ++answers_;
                }),
        address_(server_.Listen("127.0.0.1:0")) {}
  const std::string& address() const { return address_; }
  // Requests that tell the disk of a list and ask for nothing.
  int probes() const { return probes_; }
  int answers() const { return answers_; }
  // The disk was replaced by another.
  void Replace() { status_ = StorageStatus::kOtherDisk; }
  // Sets the time after which the disk has room for new chains; 0 if it has.
  void SetRoomIn(milliseconds time) { new_chains_in_ = time; }

 private:
  HttpServer server_;
  StorageStatus status_ = StorageStatus::kDone;
  milliseconds new_chains_in_{0};
  int requests_ = 0;
  int probes_ = 0;
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
    auto list = ListWith(third);
    list.members.push_back(Self());
    list.next = list.members;
    list.synced = {node_->disk(), "prompt"};
    Run(fiber, list);
  }
  // Has the disk of the manager join the prompt one and `third`.
  void Join(Fiber& fiber, const std::string& third) {
    Run(fiber, ListWith(third));
  }
  // Has it leave them and one more.
  void Leave(Fiber& fiber, const std::string& third) {
    auto list = ListWith(third);
    list.members.push_back({"fourth", "vm-4", prompt_.address(), "north"});
    list.members.push_back(Self());
    Run(fiber, list);
    manager_->Leave([](Fiber&) {});
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
  // Sets when the disk that answers has room for new chains.
  void SetPromptRoomIn(milliseconds time) { prompt_.SetRoomIn(time); }
  bool HasThird() const { return List().IsNextMember("third"); }
  // Whether the disk of the manager has begun to join or to leave.
  bool HasBegun() const { return List().changing(); }

 private:
  StorageMember Self() const {
    return {node_->disk(), "vm-1", "127.0.0.1:1", "north"};
  }
  StorageList ListWith(const std::string& third) const {
    StorageList out;
    out.version = 5;
    out.epoch = 3;
    out.members = {{"prompt", "vm-2", prompt_.address(), "north"},
                   {"third", "vm-3", third, "north"}};
    return out;
  }
  StorageList List() const {
    return DecodeStorageList(store_.Value(kStorageListKey));
  }
  void Run(Fiber& fiber, const StorageList& list) {
    store_.Put(kStorageListKey, Encode(list));
    BOOST_REQUIRE(node_->Adopt(fiber, list));
    manager_ = std::make_unique<StorageMembershipManager>(
        loop_, http_, client_, view_, *node_, log_, Self(), 1, kCatchUpTime,
        false);
    loop_.Spawn([this](Fiber& run_fiber) {
      manager_->Run(run_fiber);
      ended_ = true;
    });
  }

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

// Has the manager's disk begin to join or to leave beside the disk with the
// address `third`. Returns whether that one remains in the list.
bool RemainsAfter(void (Change::*begin)(Fiber&, const std::string&),
                  const std::function<std::string(Loop&)>& third) {
  // Never destroyed: requests under way refer to both.
  auto* loop = new Loop;
  auto* change = new Change(*loop);
  bool remains = false;
  loop->Spawn([&](Fiber& fiber) {
    (change->*begin)(fiber, third(*loop));
    BOOST_TEST(Change::WaitFor(fiber, [&] { return change->HasBegun(); }));
    remains = change->HasThird();
    change->Stop(fiber);
    loop->Stop();
  });
  loop->Run();
  return remains;
}

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

// Four probes were left for it to come back, as if it were slow.
BOOST_AUTO_TEST_CASE(disk_that_was_replaced_leaves_the_change_at_once) {
  Disk* disk = nullptr;
  BOOST_TEST(!StaysInChange(
      [&disk](Loop& loop) {
        disk = new Disk(loop, 0);
        disk->Replace();
        return disk->address();
      },
      [] { return false; }));
  BOOST_TEST(disk->probes() == 1);
}

// One probe without an answer within 0.7 s removed it.
BOOST_AUTO_TEST_CASE(disk_that_answers_late_remains_when_another_joins) {
  BOOST_TEST(RemainsAfter(&Change::Join, [](Loop& loop) {
    return (new Disk(loop, kRequestsOfOneProbe))->address();
  }));
}

BOOST_AUTO_TEST_CASE(disk_that_answers_late_remains_when_another_leaves) {
  BOOST_TEST(RemainsAfter(&Change::Leave, [](Loop& loop) {
    return (new Disk(loop, kRequestsOfOneProbe))->address();
  }));
}

BOOST_AUTO_TEST_CASE(
    disk_that_is_gone_is_removed_when_another_joins_or_leaves) {
  for (const auto begin : {&Change::Join, &Change::Leave}) {
    BOOST_TEST(!RemainsAfter(
        begin, [](Loop& loop) { return harness::FreeAddress(loop); }));
    BOOST_TEST(!RemainsAfter(begin, [](Loop& loop) {
      return (new Disk(loop, std::numeric_limits<int>::max()))->address();
    }));
  }
}

// Its VM has an emptied disk now: no further probe can find it.
BOOST_AUTO_TEST_CASE(disk_that_was_replaced_is_removed_at_once_by_a_join) {
  Disk* disk = nullptr;
  BOOST_TEST(!RemainsAfter(&Change::Join, [&disk](Loop& loop) {
    disk = new Disk(loop, 0);
    disk->Replace();
    return disk->address();
  }));
  BOOST_TEST(disk->probes() == 1);
}

// The copies filled the other disks beyond the limit for turns under way.
BOOST_AUTO_TEST_CASE(disk_leaves_once_the_others_have_room_for_the_copies) {
  constexpr int kProbes = 5;
  // Never destroyed: requests under way refer to both.
  auto* loop = new Loop;
  auto* change = new Change(*loop);
  loop->Spawn([&](Fiber& fiber) {
    auto* disk = new Disk(*loop, 0);
    disk->SetRoomIn(milliseconds(1000));
    change->Leave(fiber, disk->address());
    BOOST_TEST(Change::WaitFor(fiber, [&] {
      return disk->probes() >= kProbes || change->HasBegun();
    }));
    BOOST_TEST(!change->HasBegun());
    disk->SetRoomIn(milliseconds(0));
    BOOST_TEST(Change::WaitFor(fiber, [&] { return change->HasBegun(); }));
    change->Stop(fiber);
    loop->Stop();
  });
  loop->Run();
}

// The loss of a disk needs the copies, however little room there is.
BOOST_AUTO_TEST_CASE(lost_disk_is_removed_while_the_others_have_no_room) {
  constexpr milliseconds kRoomIn{60000};
  // Never destroyed: requests under way refer to both.
  auto* loop = new Loop;
  auto* change = new Change(*loop);
  loop->Spawn([&](Fiber& fiber) {
    change->SetPromptRoomIn(kRoomIn);
    change->Join(fiber, harness::FreeAddress(*loop));
    BOOST_TEST(Change::WaitFor(fiber, [&] { return change->HasBegun(); }));
    BOOST_TEST(!change->HasThird());
    change->Stop(fiber);
    loop->Stop();
  });
  loop->Run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
