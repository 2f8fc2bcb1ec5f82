// Settlements that a disk does not take.

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(storage_change)

// It counted as delivered, and the reservation stayed beside it.
BOOST_AUTO_TEST_CASE(
    settlement_that_an_emptied_disk_refuses_goes_to_all_disks) {
  constexpr std::size_t kCacheBytes = 1024;
  // Coroutines that have not ended refer to these objects, which are never
  // destroyed.
  auto& loop = *new Loop;
  auto& http = *new HttpClient(loop);
  auto& view = *new FleetView;
  auto& log = *new DecisionLog("front");
  auto& asked = *new std::map<std::string, int>;  // By disk.
  auto& server = *new HttpServer(loop, [&asked](Fiber&,
                                                const HttpRequest& request,
                                                HttpExchange& exchange) {
    const auto disk = request.Path().substr(std::string(kStoragePath).size());
    ++asked[disk];
    StorageReply reply;
    reply.status =
        disk == "d1" ? StorageStatus::kOtherDisk : StorageStatus::kDone;
    exchange.Reply(200, "", Encode(reply));
  });
  const auto address = server.Listen("127.0.0.1:0");
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  for (const auto* disk : {"d1", "d2", "d3"}) {
    list.members.push_back({disk, disk, address, "north"});
  }
  view.ApplyStorageList(list);
  auto& client = *new StorageClient(loop, http, view, log, "north", 1,
                                    kCacheBytes, milliseconds(1000));
  TokenUse use;
  use.program = "p";
  use.request = "r1";
  use.expires_at = WallNow() + milliseconds(60000);
  loop.Spawn([&](Fiber& fiber) {
    client.Settle(use);
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (asked["d3"] == 0 && std::chrono::steady_clock::now() < until) {
      fiber.Sleep(milliseconds(1));
    }
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(asked["d3"] > 0);
}

// A disk forgot what the program had used while the program went on elsewhere.
BOOST_AUTO_TEST_CASE(reservation_copies_old_uses_to_disks_that_lack_them) {
  constexpr std::size_t kCacheBytes = 1024;
  // Coroutines that have not ended refer to these objects, which are never
  // destroyed.
  auto& loop = *new Loop;
  auto& http = *new HttpClient(loop);
  auto& view = *new FleetView;
  auto& log = *new DecisionLog("front");
  const auto now = WallNow();
  auto& disks = *new std::map<std::string, TokenLedgers>;
  disks["d1"].Merge({{"p", "old", 60, true, now + milliseconds(40000)},
                     {"p", "new", 10, true, now + milliseconds(89000)}});
  auto& server = *new HttpServer(loop, [&disks](Fiber&,
                                                const HttpRequest& request,
                                                HttpExchange& exchange) {
    auto& disk = disks[request.Path().substr(std::string(kStoragePath).size())];
    const auto asked = DecodeStorageRequest(request.body);
    disk.Merge(asked.uses);
    StorageReply reply;
    reply.uses = disk.ForProgram(asked.program);
    exchange.Reply(200, "", Encode(reply));
  });
  const auto address = server.Listen("127.0.0.1:0");
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  for (const auto* disk : {"d1", "d2"}) {
    list.members.push_back({disk, disk, address, "north"});
  }
  view.ApplyStorageList(list);
  auto& client = *new StorageClient(loop, http, view, log, "north", 1,
                                    kCacheBytes, milliseconds(1000));
  StorageClient::Reservation reservation;
  loop.Spawn([&](Fiber& fiber) {
    const TokenUse use{"p", "r1", 64, false, now + milliseconds(90000)};
    reservation = client.Reserve(fiber, use, 100, milliseconds(5000), "");
    loop.Stop();
  });
  loop.Run();
  BOOST_CHECK(reservation.outcome == StorageClient::ReserveOutcome::kSpent);
  const auto uses = disks["d2"].ForProgram("p");
  BOOST_TEST(std::count_if(uses.begin(), uses.end(), [](const auto& it) {
               return it.request == "old" && it.settled && it.tokens == 60;
             }) == 1);
  BOOST_TEST(std::count_if(uses.begin(), uses.end(), [](const auto& it) {
               return it.request == "new";
             }) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
