// One disk: what a restart finds after old segments of its log were removed.

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "harness/test_folder.h"
#include "net/endpoint.h"
#include "net/loop_impl.h"
#include "storage/replica_client.h"
#include "storage/storage_node.h"
#include "vm/disk_gate.h"
#include "wire/codec.h"

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

// Passes turns that have expired to `store`, until a later segment of the log
// is written.
void FillSegments(StorageNode& node,
                  const std::function<bool(const StorageRequest&)>& store) {
  const auto first = node.disk_log().current_segment();
  for (int n = 0; node.disk_log().current_segment() < first + kSegmentsFilled;
       ++n) {
    StorageRequest request;
    request.turns.push_back({"t" + std::to_string(first) + std::to_string(n),
                             "", std::string(kTurnBytes, 'x'), "",
                             WallNow() - milliseconds(1)});
    BOOST_REQUIRE(store(request));
  }
}

// The same with copies, which are written to segments of their own.
void FillCopiedSegments(Fiber& fiber, StorageNode& node) {
  FillSegments(node, [&](const StorageRequest& request) {
    return node.StoreCopied(fiber, request);
  });
}

// One disk that answers requests. It may refuse writes.
class OneDisk {
 public:
  explicit OneDisk(Loop& loop)
      : loop_(loop),
        http_(loop),
        replicas_(loop, http_, "north"),
        server_(
            loop,
            [this](Fiber& fiber, const HttpRequest& request, HttpExchange& it) {
              node_->Handle(fiber, request, it);
            }),
        address_(server_.Listen("127.0.0.1:0")),
        log_("disk") {
    folder_ = harness::MakeTestFolder();
    Restart();
  }

  // 0: no limit.
  void Restart(std::int64_t memory_bytes = 0, std::int64_t disk_bytes = 0) {
    node_.reset();
    node_ = std::make_unique<StorageNode>(loop_, view_, log_, folder_, 1,
                                          disk_bytes, memory_bytes);
    node_->disk_log().BeforeWrite([this](WriteKind) {
      if (refuses_) {
        throw std::runtime_error("refused");
      }
    });
  }
  // Ends the thread that writes, so that the folder can be removed.
  void End() { node_.reset(); }
  void Refuse(bool refuses) { refuses_ = refuses; }
  StorageNode& node() { return *node_; }
  const std::string& folder() const { return folder_; }

  StorageReply Store(Fiber& fiber, const StorageRequest& request) {
    StorageReply out;
    const bool answered =
        replicas_.CallOne(fiber, {node_->disk(), "vm", address_, "north"},
                          request, milliseconds(10000), out);
    BOOST_REQUIRE(answered);
    return out;
  }
  StorageStatus StoreTurn(Fiber& fiber,
                          const std::string& id,
                          milliseconds lifetime = milliseconds(60000)) {
    StorageRequest request;
    request.turns = {{id, "", "in", "out", WallNow() + lifetime}};
    return Store(fiber, request).status;
  }
  static void Await(Fiber& fiber, const std::function<bool()>& what) {
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!what() && std::chrono::steady_clock::now() < until) {
      fiber.Sleep(milliseconds(5));
    }
    BOOST_REQUIRE(what());
  }
  // Sends `request` and closes the connection before it can be answered.
  void SendAndLeave(const StorageRequest& request) {
    const auto endpoint = ParseEndpoint(address_);
    const auto body = Encode(request);
    boost::asio::ip::tcp::socket socket(loop_.impl().io);
    socket.connect(
        {boost::asio::ip::make_address(endpoint->ip), endpoint->port});
    boost::asio::write(socket,
                       boost::asio::buffer(
                           "POST " + std::string(kStoragePath) + node_->disk() +
                           " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body));
  }
  // Has the log remove what it no longer needs, as time passes.
  void ExpireForAWhile(Fiber& fiber) {
    constexpr int kRounds = 20;
    for (int n = 0; n < kRounds; ++n) {
      node_->Expire();
      fiber.Sleep(milliseconds(10));
    }
  }

 private:
  Loop& loop_;
  HttpClient http_;
  ReplicaClient replicas_;
  HttpServer server_;
  std::string address_;
  FleetView view_;
  DecisionLog log_;
  std::string folder_;
  std::atomic<bool> refuses_ = false;
  std::unique_ptr<StorageNode> node_;
};

void WithOneDisk(const std::function<void(Fiber&, OneDisk&)>& body) {
  // Never destroyed: connections of the client are kept.
  auto* loop = new Loop;
  auto* disk = new OneDisk(*loop);
  loop->Spawn([&](Fiber& fiber) {
    body(fiber, *disk);
    loop->Stop();
  });
  loop->Run();
  disk->End();
  std::filesystem::remove_all(disk->folder());
}

void FillSegments(Fiber& fiber, OneDisk& disk) {
  FillSegments(disk.node(), [&](const StorageRequest& request) {
    return disk.Store(fiber, request).status == StorageStatus::kDone;
  });
}

BOOST_AUTO_TEST_SUITE(storage_node)

// Segments were removed when the uses in them had expired, although a program
// lived on by later uses. After a restart it got its budget again.
BOOST_AUTO_TEST_CASE(restart_knows_all_uses_of_a_program_that_lives) {
  const std::string folder = harness::MakeTestFolder();
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
    FillCopiedSegments(fiber, *node);
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

BOOST_AUTO_TEST_CASE(use_stored_again_after_a_failed_write_stays_on_disk) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    StorageRequest request;
    request.uses = {UseOf("r1", WallNow() + milliseconds(60000))};
    disk.Refuse(true);
    BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kFailed));
    disk.Refuse(false);
    BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kDone));
    FillSegments(fiber, disk);
    disk.ExpireForAWhile(fiber);
    disk.Restart();
    BOOST_TEST(disk.node().tokens().ForProgram("p").size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(turn_stored_again_after_a_failed_write_stays_on_disk) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.Refuse(true);
    BOOST_TEST((disk.StoreTurn(fiber, "t1") == StorageStatus::kFailed));
    disk.Refuse(false);
    BOOST_TEST((disk.StoreTurn(fiber, "t1") == StorageStatus::kDone));
    FillSegments(fiber, disk);
    disk.ExpireForAWhile(fiber);
    disk.Restart();
    BOOST_TEST(disk.node().turns().Find("t1") != nullptr);
  });
}

BOOST_AUTO_TEST_CASE(turn_stored_again_for_longer_outlives_its_first_segment) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    const milliseconds first{1};
    BOOST_TEST((disk.StoreTurn(fiber, "t1", first) == StorageStatus::kDone));
    FillSegments(fiber, disk);
    BOOST_TEST((disk.StoreTurn(fiber, "t1") == StorageStatus::kDone));
    FillSegments(fiber, disk);
    disk.ExpireForAWhile(fiber);
    disk.Restart();
    disk.node().Expire();
    BOOST_TEST(disk.node().turns().Find("t1") != nullptr);
  });
}

BOOST_AUTO_TEST_CASE(turn_whose_write_failed_does_not_count_with_a_later_one) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.Refuse(true);
    BOOST_TEST((disk.StoreTurn(fiber, "t1") == StorageStatus::kFailed));
    disk.Refuse(false);
    StorageRequest later;
    later.turns = {{"t2", "t1", "in", "out", WallNow() + milliseconds(60000)}};
    later.ids = {"t1"};
    later.keep_until = later.turns.front().expires_at;
    const auto reply = disk.Store(fiber, later);
    BOOST_TEST((reply.status == StorageStatus::kDone));
    BOOST_TEST(reply.ids == later.ids, boost::test_tools::per_element());
    BOOST_TEST((disk.StoreTurn(fiber, "t1") == StorageStatus::kDone));
    BOOST_TEST(disk.Store(fiber, later).ids.empty());
  });
}

// Readers see records before they are synced.
BOOST_AUTO_TEST_CASE(records_whose_write_failed_are_written_again) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    StorageRequest request;
    request.turns = {{"t1", "", "in", "out", WallNow() + milliseconds(60000)}};
    request.uses = {UseOf("r1", WallNow() + milliseconds(60000))};
    disk.Refuse(true);
    BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kFailed));
    disk.ExpireForAWhile(fiber);
    disk.Refuse(false);
    disk.ExpireForAWhile(fiber);
    disk.Restart();
    BOOST_TEST(disk.node().turns().Find("t1") != nullptr);
    BOOST_TEST(disk.node().tokens().ForProgram("p").size() == 1U);
  });
}

// A later turn of its chain was answered whole while this one could be lost.
BOOST_AUTO_TEST_CASE(turn_that_arrives_during_a_store_does_not_count_with_it) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    auto& gate = *new DiskGate;  // The disk is never destroyed.
    gate.Guard(disk.node().disk_log());
    gate.Close();
    StorageRequest later;
    later.turns = {{"t2", "t1", "in", "out", WallNow() + milliseconds(60000)}};
    later.ids = {"t1"};
    later.keep_until = later.turns.front().expires_at;
    std::optional<StorageReply> reply;
    fiber.loop().Spawn([&](Fiber& child) { reply = disk.Store(child, later); });
    OneDisk::Await(fiber, [&] { return gate.waiting() == 1; });
    bool stored = false;
    fiber.loop().Spawn([&](Fiber& child) {
      disk.StoreTurn(child, "t1");
      stored = true;
    });
    OneDisk::Await(fiber,
                   [&] { return disk.node().turns().Find("t1") != nullptr; });
    gate.LetOnePass();
    OneDisk::Await(fiber, [&] { return reply.has_value(); });
    BOOST_TEST((reply->status == StorageStatus::kDone));
    BOOST_TEST(reply->ids == later.ids, boost::test_tools::per_element());
    gate.Open();
    OneDisk::Await(fiber, [&] { return stored; });
  });
}

// Reservations were given up behind copies and behind lists to store.
BOOST_AUTO_TEST_CASE(store_is_answered_while_copies_and_lists_wait) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    auto& gate = *new DiskGate;  // The disk is never destroyed.
    gate.Guard(disk.node().disk_log(),
               {WriteKind::kBackground, WriteKind::kFile});
    gate.Close();
    StorageList list;
    list.version = 1;
    disk.node().BeginAdopt(list);
    bool copied = false;
    fiber.loop().Spawn([&](Fiber& child) {
      StorageRequest copy;
      copy.uses = {UseOf("r1", WallNow() + milliseconds(60000))};
      disk.node().StoreCopied(child, copy);
      copied = true;
    });
    OneDisk::Await(fiber, [&] { return gate.waiting() == 1; });
    StorageRequest request;
    request.program = "p";
    request.uses = {UseOf("r2", WallNow() + milliseconds(60000))};
    const auto reply = disk.Store(fiber, request);
    BOOST_TEST((reply.status == StorageStatus::kDone));
    BOOST_TEST(reply.uses.size() == 2U);
    BOOST_TEST(!copied);
    gate.Open();
    OneDisk::Await(fiber, [&] { return copied; });
  });
}

// A later turn of its chain would be whole on a disk that loses this one.
BOOST_AUTO_TEST_CASE(
    turn_whose_copy_is_not_synced_does_not_count_with_a_later) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    auto& gate = *new DiskGate;  // The disk is never destroyed.
    gate.Guard(disk.node().disk_log(), {WriteKind::kBackground});
    gate.Close();
    StorageRequest copy;
    copy.turns = {{"t1", "", "in", "out", WallNow() + milliseconds(60000)}};
    bool copied = false;
    fiber.loop().Spawn([&](Fiber& child) {
      disk.node().StoreCopied(child, copy);
      copied = true;
    });
    OneDisk::Await(fiber, [&] { return gate.waiting() == 1; });
    StorageRequest later;
    later.turns = {{"t2", "t1", "in", "out", WallNow() + milliseconds(60000)}};
    later.ids = {"t1"};
    later.keep_until = later.turns.front().expires_at;
    const auto reply = disk.Store(fiber, later);
    BOOST_TEST((reply.status == StorageStatus::kDone));
    BOOST_TEST(reply.ids == later.ids, boost::test_tools::per_element());
    gate.Open();
    OneDisk::Await(fiber, [&] { return copied; });
    BOOST_TEST(disk.Store(fiber, later).ids.empty());
  });
}

// The log has the extension in a segment before that of the turn.
BOOST_AUTO_TEST_CASE(expiry_extended_before_the_copy_is_synced_is_kept) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    BOOST_REQUIRE((disk.StoreTurn(fiber, "before") == StorageStatus::kDone));
    StorageRequest copy;
    copy.turns = {{"t1", "", "in", "out", WallNow() + milliseconds(30000)}};
    BOOST_REQUIRE(disk.node().StoreCopied(fiber, copy));
    StorageRequest later;
    later.turns = {{"t2", "t1", "in", "out", WallNow() + milliseconds(60000)}};
    later.ids = {"t1"};
    later.keep_until = later.turns.front().expires_at;
    BOOST_REQUIRE((disk.Store(fiber, later).status == StorageStatus::kDone));
    disk.Restart();
    BOOST_REQUIRE(disk.node().turns().Find("t1") != nullptr);
    BOOST_TEST(
        (disk.node().turns().Find("t1")->expires_at == later.keep_until));
  });
}

// The disk wrote the turn again without end.
BOOST_AUTO_TEST_CASE(turn_that_arrives_after_its_failed_extension_is_written) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    StorageRequest later;
    later.turns = {{"t2", "t1", "in", "out", WallNow() + milliseconds(60000)}};
    later.ids = {"t1"};
    later.keep_until = later.turns.front().expires_at;
    disk.Refuse(true);
    BOOST_TEST((disk.Store(fiber, later).status == StorageStatus::kFailed));
    disk.Refuse(false);
    BOOST_TEST((disk.StoreTurn(fiber, "t1", milliseconds(30000)) ==
                StorageStatus::kDone));
    bool durable = false;
    fiber.loop().Spawn(
        [&](Fiber& child) { durable = disk.node().AwaitDurable(child); });
    OneDisk::Await(fiber, [&] { return durable; });
    BOOST_TEST(
        (disk.node().turns().Find("t1")->expires_at == later.keep_until));
  });
}

// Disks had no room for turns that exceeded their memory.
BOOST_AUTO_TEST_CASE(contents_beyond_the_memory_are_read_from_the_disk) {
  constexpr std::int64_t kMemory = 512L * 1024;
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.Restart(kMemory);
    StorageRequest request;
    request.operation = StorageOperation::kStore;
    std::string parent;
    for (int n = 0; n < 40; ++n) {
      const auto id = "t" + std::to_string(n);
      request.turns = {{id, parent, std::string(20000, 'a' + n % 26),
                        "out" + id, WallNow() + milliseconds(60000)}};
      request.ids = parent.empty() ? std::vector<std::string>{}
                                   : std::vector<std::string>{parent};
      request.keep_until = request.turns.front().expires_at;
      BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kDone));
      parent = id;
    }
    for (const bool restarts : {false, true}) {
      if (restarts) {
        disk.Restart(kMemory);
      }
      BOOST_TEST(disk.node().turns().memory_bytes() <=
                 static_cast<std::size_t>(kMemory / 3));
      StorageRequest question;
      question.operation = StorageOperation::kChain;
      question.ids = {"t39"};
      const auto reply = disk.Store(fiber, question);
      BOOST_TEST((reply.status == StorageStatus::kDone));
      BOOST_REQUIRE(reply.turns.size() == 40U);
      for (int n = 0; n < 40; ++n) {
        const auto& turn = reply.turns[static_cast<std::size_t>(39 - n)];
        BOOST_TEST(turn.input == std::string(20000, 'a' + n % 26));
        BOOST_TEST(turn.output == "out" + turn.id);
      }
    }
  });
}

// It took room of the log for ever.
BOOST_AUTO_TEST_CASE(segment_without_a_readable_entry_is_removed) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.End();
    const auto torn = disk.folder() + "/segment-1";
    std::ofstream(torn) << "torn";
    disk.Restart();
    BOOST_TEST(disk.node().disk_log_bytes() == 4);
    disk.ExpireForAWhile(fiber);
    BOOST_TEST(disk.node().disk_log_bytes() == 0);
    OneDisk::Await(fiber, [&] { return !std::filesystem::exists(torn); });
  });
}

// Each kept the segment that it was stored in, until the disk refused all.
BOOST_AUTO_TEST_CASE(few_turns_that_live_long_do_not_fill_the_disk) {
  constexpr std::int64_t kMemory = 24000;
  constexpr std::int64_t kDisk = 40L * 1024 * 1024;
  constexpr int kTurns = 12;
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.Restart(kMemory, kDisk);
    const std::string input(2000, 'x');
    std::vector<std::string> ids;
    for (int n = 0; n < kTurns; ++n) {
      StorageRequest request;
      ids.push_back("live" + std::to_string(n));
      request.turns = {{ids.back(), "", input + std::to_string(n), "out",
                        WallNow() + milliseconds(60000)}};
      BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kDone));
      FillSegments(fiber, disk);
      disk.ExpireForAWhile(fiber);
    }
    BOOST_TEST(disk.node().disk_log_bytes() < kDisk / 8 * 5);
    OneDisk::Await(fiber, [&] { return !disk.node().compacting(); });
    disk.Restart(kMemory, kDisk);
    disk.node().Expire();
    OneDisk::Await(fiber, [&] { return !disk.node().compacting(); });
    StorageRequest question;
    question.operation = StorageOperation::kFetch;
    question.ids = ids;
    const auto reply = disk.Store(fiber, question);
    BOOST_REQUIRE(reply.turns.size() == ids.size());
    for (std::size_t n = 0; n < ids.size(); ++n) {
      BOOST_TEST(reply.turns[n].input == input + std::to_string(n));
    }
  });
}

BOOST_AUTO_TEST_CASE(turn_that_cannot_be_read_is_not_reported_as_absent) {
  constexpr std::int64_t kMemory = 3000;
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.Restart(kMemory);
    StorageRequest request;
    request.turns = {{"t1", "", std::string(2000, 'x'), "out",
                      WallNow() + milliseconds(60000)}};
    BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kDone));
    std::filesystem::remove(
        disk.folder() + "/segment-" +
        std::to_string(disk.node().disk_log().current_segment()));
    for (const auto operation :
         {StorageOperation::kChain, StorageOperation::kFetch}) {
      StorageRequest question;
      question.operation = operation;
      question.ids = {"t1"};
      BOOST_TEST(
          (disk.Store(fiber, question).status == StorageStatus::kFailed));
    }
  });
}

// Its content is no longer in memory to be written again.
BOOST_AUTO_TEST_CASE(failed_extension_of_a_turn_on_the_disk_is_written_alone) {
  constexpr std::int64_t kMemory = 6000;
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    disk.Restart(kMemory);
    StorageRequest request;
    request.turns = {{"t1", "", std::string(2000, 'x'), "out",
                      WallNow() + milliseconds(200)}};
    BOOST_TEST((disk.Store(fiber, request).status == StorageStatus::kDone));
    BOOST_TEST(disk.node().turns().PositionOfDropped("t1").has_value());
    StorageRequest extension;
    extension.ids = {"t1"};
    extension.keep_until = WallNow() + milliseconds(60000);
    disk.Refuse(true);
    BOOST_TEST((disk.Store(fiber, extension).status == StorageStatus::kFailed));
    disk.Refuse(false);
    bool durable = false;
    fiber.loop().Spawn(
        [&](Fiber& child) { durable = disk.node().AwaitDurable(child); });
    OneDisk::Await(fiber, [&] { return durable; });
    OneDisk::Await(
        fiber, [&] { return WallNow() > request.turns.front().expires_at; });
    disk.Restart(kMemory);
    disk.node().Expire();
    StorageRequest question;
    question.operation = StorageOperation::kChain;
    question.ids = {"t1"};
    const auto reply = disk.Store(fiber, question);
    BOOST_REQUIRE(reply.turns.size() == 1U);
    BOOST_TEST(reply.turns.front().input == request.turns.front().input);
  });
}

BOOST_AUTO_TEST_CASE(reservation_whose_sender_has_given_up_is_not_stored) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    StorageRequest reservation;
    reservation.program = "p";
    reservation.uses = {UseOf("r", WallNow() + milliseconds(60000))};
    reservation.uses.front().settled = false;
    disk.SendAndLeave(reservation);
    StorageRequest turn;
    turn.turns = {{"t", "", "in", "out", WallNow() + milliseconds(60000)}};
    disk.SendAndLeave(turn);
    OneDisk::Await(fiber,
                   [&] { return disk.node().turns().Find("t") != nullptr; });
    BOOST_TEST(disk.node().tokens().size() == 0U);
  });
}

// It is true whether or not the sender hears that it is stored.
BOOST_AUTO_TEST_CASE(settlement_whose_sender_has_given_up_is_stored) {
  WithOneDisk([](Fiber& fiber, OneDisk& disk) {
    StorageRequest settlement;
    settlement.uses = {UseOf("r", WallNow() + milliseconds(60000))};
    disk.SendAndLeave(settlement);
    OneDisk::Await(fiber, [&] { return disk.node().tokens().size() == 1U; });
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
