// When a turn counts as one that does not exist.

#include <set>

#include <boost/test/unit_test.hpp>

#include "net/http_server.h"
#include "storage/storage_client.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCacheBytes = 1024;
constexpr int kUnavailable = 503;

// Three disks, of which those in `silent` fail and the others lack every turn.
class EmptyDisks {
 public:
  EmptyDisks(Loop& loop, std::set<std::string> silent)
      : silent_(std::move(silent)),
        server_(
            loop,
            [this](Fiber&, const HttpRequest& request, HttpExchange& exchange) {
              Answer(request, exchange);
            }) {
    const auto address = server_.Listen("127.0.0.1:0");
    for (const auto* disk : {"d1", "d2", "d3"}) {
      members_.push_back({disk, disk, address, "north"});
    }
  }
  const std::vector<StorageMember>& members() const { return members_; }

 private:
  void Answer(const HttpRequest& request, HttpExchange& exchange) {
    const auto disk = request.Path().substr(std::string(kStoragePath).size());
    if (silent_.count(disk) > 0) {
      exchange.Reply(kUnavailable, "text/plain", "out");
      return;
    }
    StorageReply reply;
    reply.whole = true;
    exchange.Reply(200, "", Encode(reply));
  }

  std::set<std::string> silent_;
  HttpServer server_;
  std::vector<StorageMember> members_;
};

enum class Change { kNone, kFirstTime, kAnew };

// Asks the disks of a list in this state for a turn that none of them has.
Tristate FindTurn(Change change, const std::set<std::string>& silent) {
  Loop loop;
  HttpClient http(loop);
  FleetView view;
  DecisionLog log("front");
  EmptyDisks disks(loop, silent);
  StorageList list;
  list.version = 1;
  list.epoch = 1;
  list.members = disks.members();
  if (change != Change::kNone) {
    list = list.WithChange({{"d4", "d4", "127.0.0.1:1", "north"}}, {});
  }
  if (change == Change::kAnew) {
    list = list.RestartedWith(disks.members());
  }
  view.ApplyStorageList(list);
  StorageClient client(loop, http, view, log, "north", 1, kCacheBytes,
                       milliseconds(1000));
  auto out = Tristate::kYes;
  loop.Spawn([&](Fiber& fiber) {
    out = client.LoadChain(fiber, "turn", milliseconds(2000)).found;
    loop.Stop();
  });
  loop.Run();
  return out;
}

BOOST_AUTO_TEST_SUITE(chains)

BOOST_AUTO_TEST_CASE(turn_is_denied_if_all_disks_but_the_tolerated_lack_it) {
  BOOST_TEST((FindTurn(Change::kNone, {"d3"}) == Tristate::kNo));
  BOOST_TEST((FindTurn(Change::kNone, {"d2", "d3"}) == Tristate::kUnknown));
  BOOST_TEST((FindTurn(Change::kFirstTime, {"d3"}) == Tristate::kUnknown));
  BOOST_TEST((FindTurn(Change::kFirstTime, {}) == Tristate::kNo));
}

// A disk that was dropped from a change may have had the other copy, so that
// two disks of three without a turn are no proof that there is none.
BOOST_AUTO_TEST_CASE(turn_is_denied_by_every_disk_once_a_change_began_anew) {
  for (const auto* it : {"d1", "d2", "d3"}) {
    BOOST_TEST((FindTurn(Change::kAnew, {it}) == Tristate::kUnknown));
  }
  BOOST_TEST((FindTurn(Change::kAnew, {}) == Tristate::kNo));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
