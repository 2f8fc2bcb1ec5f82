// Room for turns while disks cannot be reached.

#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRoomIn{60000};

// A storage daemon that has no record, and room or none.
class RoomReporter {
 public:
  RoomReporter(Loop& loop, const std::string& disk, bool full)
      : server_(loop, [full](Fiber&, const HttpRequest&, HttpExchange& it) {
          StorageReply reply;
          reply.full = full;
          reply.room_in = full ? kRoomIn : milliseconds(0);
          it.Reply(200, "", Encode(reply));
        }) {
    member_ = {disk, disk, server_.Listen("127.0.0.1:0"), "north"};
  }
  const StorageMember& member() const { return member_; }

 private:
  HttpServer server_;
  StorageMember member_;
};

BOOST_AUTO_TEST_SUITE(full_disks)

// Turns ran for the room of the dead disk, and were cut once the full one took
// no more.
BOOST_AUTO_TEST_CASE(room_of_a_dead_disk_admits_no_turn) {
  // Never destroyed: connections of the client are kept.
  auto* loop = new Loop;
  auto* http = new HttpClient(*loop);
  auto* view = new FleetView;
  auto* log = new DecisionLog("front");
  auto* full = new RoomReporter(*loop, "full", true);
  auto* roomy = new RoomReporter(*loop, "roomy", false);
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  list.members = {{"dead", "dead", "127.0.0.1:1", "north"},
                  full->member(),
                  roomy->member()};
  view->ApplyStorageList(list);
  auto* client = new StorageClient(*loop, *http, *view, *log, "north", 1, 1024,
                                   milliseconds(1000));
  milliseconds before{-1};
  milliseconds after{-1};
  loop->Spawn([&](Fiber& fiber) {
    before = client->RoomForTurnIn(false);
    client->LoadChain(fiber, "t1", milliseconds(1000));
    after = client->RoomForTurnIn(false);
    loop->Stop();
  });
  loop->Run();
  BOOST_TEST(before.count() == 0);
  // The dead disk may be back before the full one has room.
  BOOST_TEST(after.count() > 0);
  BOOST_TEST((after <= milliseconds(1000)));
}

// New chains used up what a near disk had left for the loss of another.
BOOST_AUTO_TEST_CASE(new_chains_go_to_disks_with_room_for_them) {
  // Never destroyed: connections of the client are kept.
  auto* loop = new Loop;
  auto* http = new HttpClient(*loop);
  auto* view = new FleetView;
  auto* log = new DecisionLog("front");
  std::map<std::string, std::vector<std::string>> stored;  // By disk.
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  for (const auto* disk : {"near", "far-1", "far-2"}) {
    const std::string name = disk;
    const bool near = name == "near";
    auto* server = new HttpServer(
        *loop, [&stored, name, near](Fiber&, const HttpRequest& request,
                                     HttpExchange& it) {
          for (const auto& turn : DecodeStorageRequest(request.body).turns) {
            stored[name].push_back(turn.id);
          }
          StorageReply reply;
          reply.new_chains_in = near ? kRoomIn : milliseconds(0);
          it.Reply(200, "", Encode(reply));
        });
    list.members.push_back(
        {name, name, server->Listen("127.0.0.1:0"), near ? "north" : "south"});
  }
  view->ApplyStorageList(list);
  auto* client = new StorageClient(*loop, *http, *view, *log, "north", 1, 1024,
                                   milliseconds(1000));
  loop->Spawn([&](Fiber& fiber) {
    const auto store = [&](const std::string& id, const std::string& parent) {
      const auto result = client->StoreTurn(
          fiber, {id, parent, "in", "out", milliseconds(1)}, {},
          parent.empty() ? std::vector<std::string>{}
                         : std::vector<std::string>{parent},
          milliseconds(5000), [] { return false; });
      BOOST_TEST(result.durable);
    };
    store("t1", "");
    BOOST_TEST(client->RoomForTurnIn(true).count() == 0);
    store("t2", "");
    store("t3", "t1");
    loop->Stop();
  });
  loop->Run();
  // A chain goes on where it has begun.
  BOOST_TEST(stored["near"] == (std::vector<std::string>{"t1", "t3"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
