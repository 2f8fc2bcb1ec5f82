// Storage daemons that have not stored a new list of members yet.

#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStoreTime{20};
// Longer than the reservation may take.
constexpr milliseconds kSlowListTime{5000};
constexpr milliseconds kReserveTime{1200};
// Of a daemon that answers nothing.
constexpr milliseconds kNever{60000};

// A storage daemon that keeps uses of tokens in memory. One with a `list_time`
// does not know the list until it has been sent it, and then for that long.
class LateDaemon {
 public:
  LateDaemon(Loop& loop, const std::string& disk, milliseconds list_time)
      : list_time_(list_time),
        knows_list_(list_time.count() == 0),
        server_(
            loop,
            [this](Fiber& fiber,
                   const HttpRequest& request,
                   HttpExchange& exchange) {
              exchange.Reply(
                  200, "",
                  Encode(Answer(fiber, DecodeStorageRequest(request.body))));
            }) {
    member_ = {disk, disk, server_.Listen("127.0.0.1:0"), "north"};
  }
  const StorageMember& member() const { return member_; }

 private:
  StorageReply Answer(Fiber& fiber, const StorageRequest& request) {
    StorageReply out;
    if (list_time_ == kNever) {
      fiber.Sleep(kNever);
    }
    if (request.members) {
      fiber.Sleep(list_time_);
      knows_list_ = true;
    } else if (!knows_list_ && request.epoch > 0) {
      out.status = StorageStatus::kNewEpoch;
    } else if (request.operation == StorageOperation::kStore) {
      fiber.Sleep(kStoreTime);
      uses_.insert(uses_.end(), request.uses.begin(), request.uses.end());
    }
    out.uses = uses_;
    return out;
  }

  milliseconds list_time_;
  bool knows_list_;
  std::vector<TokenUse> uses_;
  HttpServer server_;
  StorageMember member_;
};

// Reserves tokens while a change of the list asks all three daemons. Returns
// whether they were granted.
bool IsGranted(const std::vector<milliseconds>& list_times) {
  // Never destroyed: connections of the client are kept.
  auto* loop = new Loop;
  auto* http = new HttpClient(*loop);
  auto* view = new FleetView;
  auto* log = new DecisionLog("front");
  StorageList list;
  list.version = 2;
  list.epoch = 2;
  for (const auto it : list_times) {
    const auto disk = "d" + std::to_string(list.members.size());
    const auto* daemon = new LateDaemon(*loop, disk, it);
    list.members.push_back(daemon->member());
  }
  list.next = list.members;
  view->ApplyStorageList(list);
  auto* client = new StorageClient(*loop, *http, *view, *log, "north", 1, 1024,
                                   milliseconds(1000));
  StorageClient::Reservation out;
  loop->Spawn([&](Fiber& fiber) {
    TokenUse use;
    use.program = "p";
    use.request = "r";
    use.tokens = 16;
    use.expires_at = WallNow() + milliseconds(60000);
    out = client->Reserve(fiber, use, 100, kReserveTime);
    loop->Stop();
  });
  loop->Run();
  return out.outcome == StorageClient::ReserveOutcome::kGranted;
}

BOOST_AUTO_TEST_SUITE(slow_disks)

// The daemon waited a second for the disk to store the list, out of the 1.2 s
// that a reservation may take.
BOOST_AUTO_TEST_CASE(reservation_does_not_wait_for_a_disk_that_stores_a_list) {
  BOOST_TEST(IsGranted({kSlowListTime, milliseconds(0), milliseconds(0)}));
  BOOST_TEST(IsGranted({milliseconds(0), milliseconds(0), kSlowListTime}));
}

BOOST_AUTO_TEST_CASE(reservation_waits_for_enough_disks_that_store_a_list) {
  const milliseconds prompt(50);
  BOOST_TEST(IsGranted({prompt, prompt, prompt}));
  BOOST_TEST(IsGranted({prompt, kSlowListTime, prompt}));
  BOOST_TEST(IsGranted({kSlowListTime, milliseconds(0), prompt}));
}

// One after the other they took longer than a reservation may.
BOOST_AUTO_TEST_CASE(disks_store_a_list_side_by_side) {
  const milliseconds slow(700);
  BOOST_TEST(IsGranted({slow, slow, slow}));
}

BOOST_AUTO_TEST_CASE(reservation_is_granted_once_a_disk_has_the_list) {
  const milliseconds late(200);
  BOOST_TEST(IsGranted({kNever, milliseconds(0), late}));
  BOOST_TEST(IsGranted({kNever, late, late}));
  BOOST_TEST(IsGranted({late, milliseconds(0), kNever}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
