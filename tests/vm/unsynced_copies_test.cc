// A disk that copies records while its own writes take long.

#include <condition_variable>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "harness/test_folder.h"
#include "storage/disk_copier.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

// Uses of one program, more than a page has.
constexpr int kUsesOfProgram = 1001;
constexpr int kTurnsOfLargeDisk = 30000;
constexpr int kTurnsPerStore = 1000;
// Other coroutines run at least once while the copier looks at as many turns.
constexpr int kMaxTurnsPerStep = 2000;

// Holds the writes of a disk while it is closed.
class WriteGate {
 public:
  void Set(bool closed) {
    const std::lock_guard lock(mutex_);
    closed_ = closed;
    changed_.notify_all();
  }
  void Pass() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !closed_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool closed_ = false;
};

// A disk that joins while a member is gone, and the member it copies from.
class Join {
 public:
  explicit Join(Loop& loop)
      : loop_(loop),
        http_(loop),
        replicas_(loop, http_, "north"),
        server_(
            loop,
            [this](Fiber& fiber, const HttpRequest& request, HttpExchange& it) {
              const auto operation = Count(request);
              source_->Handle(fiber, AsSourceReads(request), it);
              if (operation == StorageOperation::kDigest) {
                turns_at_digest_ = loop_turns_;
              }
            }),
        address_(server_.Listen("127.0.0.1:0")),
        log_("disk"),
        source_folder_(harness::MakeTestFolder()),
        folder_(harness::MakeTestFolder()) {
    source_ = std::make_unique<StorageNode>(loop, source_view_, log_,
                                            source_folder_, 1, 0, 0);
    Restart();
  }

  void Restart() {
    node_.reset();
    node_ = std::make_unique<StorageNode>(loop_, view_, log_, folder_, 1, 0, 0);
    node_->disk_log().BeforeWrite([this](WriteKind) { gate_.Pass(); });
  }

  StorageMember SourceMember() const {
    return {source_->disk(), "vm-1", address_, "north"};
  }
  StorageMember SelfMember() const {
    return {node_->disk(), "vm-2", "127.0.0.1:1", "north"};
  }
  static StorageMember GoneMember() {
    return {"gone", "vm-3", "127.0.0.1:1", "north"};
  }

  // Begins the change with which the disk joins.
  void Begin(Fiber& fiber) { Begin(fiber, {SourceMember(), GoneMember()}, {}); }
  // Begins a change of `members` after which the two disks remain.
  void Begin(Fiber& fiber,
             const std::vector<StorageMember>& members,
             const std::vector<std::string>& copied) {
    list_.version = 5;
    list_.epoch = 3;
    list_.members = members;
    list_.next = {SourceMember(), SelfMember()};
    list_.synced = copied;
    BOOST_REQUIRE(source_->Adopt(fiber, list_));
    BOOST_REQUIRE(node_->Adopt(fiber, list_));
    copier_ = std::make_unique<DiskCopier>(loop_, view_, *node_, replicas_,
                                           node_->disk(), 1);
  }
  bool Copy(Fiber& fiber) { return copier_->Copy(fiber, list_); }

  StorageNode& source() { return *source_; }
  StorageNode& node() { return *node_; }
  WriteGate& gate() { return gate_; }
  int first_pages() const { return first_pages_; }
  void SetSourceIsOlder() { source_is_older_ = true; }
  // Counts how often other coroutines run, until the first turn is fetched.
  void CountLoopTurns() {
    loop_.Spawn([this](Fiber& fiber) {
      while (turns_until_fetch_ < 0) {
        fiber.Sleep(milliseconds(0));
        ++loop_turns_;
      }
    });
  }
  // How often others ran between the digest and the first fetch.
  int turns_until_fetch() const { return turns_until_fetch_; }
  void RemoveFolders() const {
    std::filesystem::remove_all(source_folder_);
    std::filesystem::remove_all(folder_);
  }

 private:
  // An older build does not know of keys.
  HttpRequest AsSourceReads(HttpRequest request) const {
    if (source_is_older_) {
      auto decoded = DecodeStorageRequest(request.body);
      decoded.packs = false;
      decoded.keys.clear();
      request.body = Encode(decoded);
    }
    return request;
  }
  StorageOperation Count(const HttpRequest& request) {
    const auto decoded = DecodeStorageRequest(request.body);
    const bool first = decoded.operation == StorageOperation::kSomeUses &&
                       decoded.program.empty();
    first_pages_ += first ? 1 : 0;
    if (decoded.operation == StorageOperation::kFetch &&
        turns_until_fetch_ < 0) {
      turns_until_fetch_ = loop_turns_ - turns_at_digest_;
    }
    return decoded.operation;
  }

  Loop& loop_;
  HttpClient http_;
  ReplicaClient replicas_;
  HttpServer server_;
  std::string address_;
  FleetView source_view_;
  FleetView view_;
  DecisionLog log_;
  std::string source_folder_;
  std::string folder_;
  WriteGate gate_;
  StorageList list_;
  std::unique_ptr<StorageNode> source_;
  std::unique_ptr<StorageNode> node_;
  std::unique_ptr<DiskCopier> copier_;
  int first_pages_ = 0;
  bool source_is_older_ = false;
  int loop_turns_ = 0;
  int turns_at_digest_ = 0;
  int turns_until_fetch_ = -1;
};

void WithJoin(const std::function<void(Fiber&, Join&)>& body) {
  // Never destroyed: requests under way refer to both.
  auto* loop = new Loop;
  auto* join = new Join(*loop);
  loop->Spawn([&](Fiber& fiber) {
    body(fiber, *join);
    loop->Stop();
  });
  loop->Run();
  join->RemoveFolders();
}

// Copies until a try succeeds.
bool CopyWhole(Fiber& fiber, Join& join) {
  constexpr int kTries = 20;
  for (int n = 0; n < kTries; ++n) {
    if (join.Copy(fiber)) {
      return true;
    }
  }
  return false;
}

TokenUse UseOf(const std::string& program, int request) {
  TokenUse out;
  out.program = program;
  out.request = "r" + std::to_string(request);
  out.tokens = 1;
  out.settled = true;
  out.expires_at = WallNow() + milliseconds(60000);
  return out;
}

StorageRequest TurnToStore() {
  StorageRequest out;
  out.turns = {{"t1", "", "in", "out", WallNow() + milliseconds(60000)}};
  return out;
}

BOOST_AUTO_TEST_SUITE(storage_change)

BOOST_AUTO_TEST_CASE(disk_has_not_copied_turns_that_it_has_not_synced) {
  WithJoin([](Fiber& fiber, Join& join) {
    BOOST_REQUIRE(join.source().StoreCopied(fiber, TurnToStore()));
    join.Begin(fiber);
    join.gate().Set(true);
    BOOST_TEST(!join.Copy(fiber));
    BOOST_TEST(!join.Copy(fiber));
    join.gate().Set(false);
    BOOST_TEST(CopyWhole(fiber, join));
    join.Restart();
    BOOST_TEST(join.node().turns().Find("t1") != nullptr);
  });
}

BOOST_AUTO_TEST_CASE(copy_of_uses_goes_on_after_a_slow_sync) {
  WithJoin([](Fiber& fiber, Join& join) {
    for (const auto* program : {"p1", "p2"}) {
      StorageRequest request;
      for (int n = 0; n < kUsesOfProgram; ++n) {
        request.uses.push_back(UseOf(program, n));
      }
      BOOST_REQUIRE(join.source().StoreCopied(fiber, request));
    }
    join.Begin(fiber);
    join.gate().Set(true);
    BOOST_TEST(!join.Copy(fiber));
    BOOST_TEST(!join.Copy(fiber));
    BOOST_TEST(!join.Copy(fiber));
    BOOST_TEST(join.first_pages() == 1);
    BOOST_TEST(join.node().tokens().size() == 2U);
    join.gate().Set(false);
    BOOST_TEST(CopyWhole(fiber, join));
    join.Restart();
    BOOST_TEST(join.node().tokens().size() == 2U);
  });
}

BOOST_AUTO_TEST_CASE(turns_are_copied_from_a_disk_of_an_older_build) {
  WithJoin([](Fiber& fiber, Join& join) {
    BOOST_REQUIRE(join.source().StoreCopied(fiber, TurnToStore()));
    join.SetSourceIsOlder();
    join.Begin(fiber);
    BOOST_TEST(CopyWhole(fiber, join));
    BOOST_TEST(join.node().turns().Find("t1") != nullptr);
  });
}

// A daemon has a sixth of a processor, so that long steps delay all requests.
BOOST_AUTO_TEST_CASE(requests_are_answered_while_a_large_copy_is_computed) {
  WithJoin([](Fiber& fiber, Join& join) {
    BOOST_REQUIRE(join.source().StoreCopied(fiber, TurnToStore()));
    StorageRequest request;
    for (int n = 1; n <= kTurnsOfLargeDisk; ++n) {
      request.turns.push_back({"own" + std::to_string(n), "", "in", "out",
                               WallNow() + milliseconds(600000)});
      if (n % kTurnsPerStore == 0) {
        // Known at once, also if the sync takes long.
        join.node().StoreCopied(fiber, request);
        request.turns.clear();
      }
    }
    join.Begin(fiber);
    join.CountLoopTurns();
    BOOST_TEST(CopyWhole(fiber, join));
    BOOST_TEST(join.turns_until_fetch() >=
               kTurnsOfLargeDisk / kMaxTurnsPerStep);
    BOOST_TEST(join.node().turns().Find("t1") != nullptr);
  });
}

// The others had dropped it while it did not answer.
BOOST_AUTO_TEST_CASE(turn_that_only_a_returning_disk_has_gets_a_second_copy) {
  WithJoin([](Fiber& fiber, Join& join) {
    BOOST_REQUIRE(join.node().StoreCopied(fiber, TurnToStore()));
    join.Begin(fiber, {join.SourceMember()}, {join.source().disk()});
    BOOST_TEST(CopyWhole(fiber, join));
    BOOST_TEST(join.source().turns().Find("t1") != nullptr);
  });
}

BOOST_AUTO_TEST_CASE(turn_of_disk_that_others_took_for_lost_gets_a_copy) {
  WithJoin([](Fiber& fiber, Join& join) {
    BOOST_REQUIRE(join.node().StoreCopied(fiber, TurnToStore()));
    join.Begin(fiber,
               {join.SourceMember(), join.SelfMember(), Join::GoneMember()},
               {join.source().disk()});
    BOOST_TEST(CopyWhole(fiber, join));
    BOOST_TEST(join.source().turns().Find("t1") != nullptr);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
