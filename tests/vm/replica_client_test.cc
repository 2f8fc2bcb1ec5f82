// Which storage daemons count as unreachable, and when requests go by relays.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "core/wall_clock.h"
#include "net/http_server.h"
#include "storage/replica_client.h"
#include "vm/stepping_clock.h"
#include "wire/codec.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// A storage daemon that keeps nothing.
class ScriptedDaemon {
 public:
  ScriptedDaemon(Loop& loop, const std::string& disk)
      : opened_(loop),
        server_(loop,
                [this](Fiber& fiber,
                       const HttpRequest& request,
                       HttpExchange& exchange) {
                  Handle(fiber, request, exchange);
                }) {
    member_ = {disk, disk, server_.Listen("127.0.0.1:0"), "north"};
  }

  const StorageMember& member() const { return member_; }
  // Its disk no longer syncs.
  void Stall() { stalled_ = true; }
  // It has no memory for the bodies of stores.
  void RefuseStores() { refuses_stores_ = true; }
  // It answers nothing, like one whose packets are dropped.
  void Silence() { silent_ = true; }
  // It answers late, for lack of processor time.
  void Delay(milliseconds time) { delay_ = time; }
  // Answers requests again. Those that came before are never answered.
  void Regain() {
    stalled_ = false;
    silent_ = false;
  }
  int relayed() const { return relayed_; }
  int stores() const { return stores_; }
  // Requests other than probes.
  int requests() const { return requests_; }

 private:
  void Handle(Fiber& fiber,
              const HttpRequest& request,
              HttpExchange& exchange) {
    const auto decoded = DecodeStorageRequest(request.body);
    const bool store = decoded.operation == StorageOperation::kStore;
    relayed_ += request.Header(kRelayHeader).empty() ? 0 : 1;
    stores_ += store ? 1 : 0;
    requests_ += decoded.operation == StorageOperation::kAdopt ? 0 : 1;
    if (delay_.count() > 0) {
      fiber.Sleep(delay_);
    }
    if (refuses_stores_ && store) {
      exchange.Reply(kUnavailable, "", "");
      return;
    }
    if (silent_ || (stalled_ && store)) {
      opened_.WaitUntil(fiber, milliseconds(10000), [] { return false; });
    }
    StorageReply reply;
    if (request.Path() != kStoragePath + member_.disk) {
      reply.status = StorageStatus::kOtherDisk;
    }
    exchange.Reply(kOk, "", Encode(reply));
  }

  Condition opened_;
  HttpServer server_;
  StorageMember member_;
  bool stalled_ = false;
  bool silent_ = false;
  bool refuses_stores_ = false;
  int relayed_ = 0;
  int stores_ = 0;
  int requests_ = 0;
  milliseconds delay_{0};
};

struct Daemons {
  explicit Daemons(Loop& event_loop)
      : loop(event_loop),
        http(event_loop),
        client(event_loop, http, "north"),
        relay(event_loop,
              [this](Fiber& child, const HttpRequest&, HttpExchange& exchange) {
                ++relay_requests;
                child.Sleep(relay_time);
                exchange.Reply(relay_time.count() > 0 ? kOk : kUnavailable, "",
                               Encode(StorageReply()));
              }) {
    for (const auto* it : {"d1", "d2", "d3"}) {
      all.push_back(std::make_unique<ScriptedDaemon>(loop, it));
    }
    client.SetRelays([address = relay.Listen("127.0.0.1:0")] {
      return std::vector<std::string>{address};
    });
  }

  StorageReplies Call(Fiber& fiber,
                      StorageOperation operation,
                      milliseconds timeout,
                      std::size_t wanted,
                      std::size_t initial_targets = 2) {
    ReplicaClient::Plan plan;
    for (const auto& it : all) {
      plan.targets.push_back(it->member());
    }
    plan.initial_targets = initial_targets;
    plan.timeout = timeout;
    StorageRequest request;
    request.operation = operation;
    if (operation == StorageOperation::kStore) {
      request.turns.push_back({"t1", "", "in;", "out;", WallNow()});
    }
    return client.Call(
        fiber, plan, request,
        [wanted](const StorageReplies& it) { return it.size() >= wanted; });
  }

  // Has a request to the daemon with that index end without an answer.
  void Fail(Fiber& fiber, std::size_t index) {
    all[index]->Silence();
    StorageRequest request;
    request.operation = StorageOperation::kChain;
    StorageReply reply;
    BOOST_TEST(!client.CallOne(fiber, all[index]->member(), request,
                               milliseconds(50), reply));
    // Its request ends beside the call.
    while (!client.IsFailing(all[index]->member())) {
      fiber.Sleep(milliseconds(1));
    }
  }

  Loop& loop;
  HttpClient http;
  ReplicaClient client;
  int relay_requests = 0;
  milliseconds relay_time{0};  // 0: it reaches no daemon.
  HttpServer relay;
  std::vector<std::unique_ptr<ScriptedDaemon>> all;
};

void WithDaemons(const std::function<void(Fiber&, Daemons&)>& body) {
  // Never destroyed: requests without an answer refer to them.
  auto* loop = new Loop;
  auto* daemons = new Daemons(*loop);
  loop->Spawn([&](Fiber& fiber) {
    body(fiber, *daemons);
    loop->Stop();
  });
  loop->Run();
}

std::vector<std::string> Disks(const std::vector<StorageMember>& members) {
  std::vector<std::string> out;
  out.reserve(members.size());
  for (const auto& it : members) {
    out.push_back(it.disk);
  }
  return out;
}

// Returns the disk that the VM of `member` had before it was emptied.
StorageMember Before(StorageMember member) {
  member.disk += "-before";
  return member;
}

// Has so many requests wait that no further ones are sent for late answers.
void SpendHedges(Fiber& fiber, Daemons& daemons) {
  constexpr int kCalls = 40;
  int running = kCalls;
  for (int n = 0; n < kCalls; ++n) {
    fiber.loop().Spawn([&](Fiber& child) {
      daemons.Call(child, StorageOperation::kStore, milliseconds(500), 4, 1);
      --running;
    });
  }
  while (running > 0) {
    fiber.Sleep(milliseconds(1));
  }
}

BOOST_AUTO_TEST_SUITE(replica_client)

// Two slow disks were waited for one after the other beside an emptied one.
BOOST_AUTO_TEST_CASE(answer_of_an_emptied_disk_starts_the_next_target_at_once) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    daemons.all[1]->Stall();
    daemons.all[2]->Stall();
    daemons.all[0]->Stall();
    SpendHedges(fiber, daemons);
    daemons.all[2]->Regain();
    ReplicaClient::Plan plan;
    plan.targets = {Before(daemons.all[0]->member()), daemons.all[1]->member(),
                    daemons.all[2]->member()};
    plan.initial_targets = 2;
    plan.timeout = milliseconds(1500);
    StorageRequest request;
    daemons.all[0]->Regain();
    const auto replies =
        daemons.client.Call(fiber, plan, request,
                            [](const auto& it) { return it.count("d3") > 0; });
    BOOST_TEST(replies.count("d3") == 1U);
  });
}

// It was among the first targets, as the only one that answers at once.
BOOST_AUTO_TEST_CASE(emptied_disk_is_sorted_behind_slow_ones) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->Stall();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(500), 4, 3);
    daemons.all[0]->Regain();
    const auto before = Before(daemons.all[0]->member());
    auto now = daemons.all[0]->member();
    now.data_centre = "south";
    const auto other = daemons.all[1]->member();
    StorageRequest request;
    StorageReply reply;
    BOOST_REQUIRE(daemons.client.CallOne(fiber, before, request,
                                         milliseconds(5000), reply));
    BOOST_TEST((reply.status == StorageStatus::kOtherDisk));
    // The disk that took its place has not become fast by this.
    BOOST_TEST(Disks(daemons.client.SortByPreference({before, other, now})) ==
                   (std::vector<std::string>{"d2", "d1", "d1-before"}),
               boost::test_tools::per_element());
    BOOST_TEST(
        Disks(daemons.client.SpreadOverDataCentres({before, other, now})) ==
            (std::vector<std::string>{"d2", "d1", "d1-before"}),
        boost::test_tools::per_element());
  });
}

// It was sorted behind the others for as long as the client ran.
BOOST_AUTO_TEST_CASE(disk_that_moved_to_another_address_is_not_sorted_last) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    const auto before = Before(daemons.all[0]->member());
    const auto other = daemons.all[1]->member();
    auto moved = before;
    moved.address = daemons.all[2]->member().address;
    StorageRequest request;
    StorageReply reply;
    BOOST_REQUIRE(daemons.client.CallOne(fiber, before, request,
                                         milliseconds(5000), reply));
    BOOST_TEST((reply.status == StorageStatus::kOtherDisk));
    const std::vector<std::string> expected{"d1-before", "d2"};
    BOOST_TEST(
        Disks(daemons.client.SortByPreference({moved, other})) == expected,
        boost::test_tools::per_element());
    BOOST_TEST(
        Disks(daemons.client.SpreadOverDataCentres({moved, other})) == expected,
        boost::test_tools::per_element());
    BOOST_TEST(Disks(daemons.client.SortByPreference({before, other})) ==
                   (std::vector<std::string>{"d2", "d1-before"}),
               boost::test_tools::per_element());
  });
}

BOOST_AUTO_TEST_CASE(chains_are_read_directly_while_disks_do_not_sync) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->Stall();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(600), 2);
    const auto during =
        daemons.Call(fiber, StorageOperation::kChain, milliseconds(500), 3);
    BOOST_TEST(during.size() == 3U);
    BOOST_TEST(daemons.relay_requests == 0);
  });
}

// The store had ended by its time limit; later stores were not sent at all.
BOOST_AUTO_TEST_CASE(stores_are_sent_to_slow_disks_and_not_to_relays) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->Stall();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(600), 2);
    for (const auto& it : daemons.all) {
      it->Regain();
    }
    const auto after =
        daemons.Call(fiber, StorageOperation::kStore, milliseconds(500), 2);
    BOOST_TEST(after.size() == 2U);
    BOOST_TEST(daemons.relay_requests == 0);
  });
}

BOOST_AUTO_TEST_CASE(daemons_without_memory_for_stores_are_not_taken_for_dead) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->RefuseStores();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(500), 2);
    for (const auto& it : daemons.all) {
      BOOST_TEST(!daemons.client.IsFailing(it->member()));
    }
    const auto after =
        daemons.Call(fiber, StorageOperation::kChain, milliseconds(500), 3);
    BOOST_TEST(after.size() == 3U);
    BOOST_TEST(daemons.relay_requests == 0);
  });
}

BOOST_AUTO_TEST_CASE(relays_are_used_soon_after_all_daemons_fell_silent) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->Silence();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(500), 2);
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(500), 2);
    BOOST_TEST(daemons.relay_requests > 0);
  });
}

// It lost what it had received, and the other one is dead.
BOOST_AUTO_TEST_CASE(store_is_sent_again_to_daemon_that_is_back) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    daemons.all[0]->Silence();
    daemons.all[1]->Silence();
    daemons.loop.Spawn([&daemons](Fiber& child) {
      child.Sleep(milliseconds(500));
      daemons.all[0]->Regain();
    });
    const auto start = std::chrono::steady_clock::now();
    const auto replies =
        daemons.Call(fiber, StorageOperation::kStore, milliseconds(4000), 2);
    BOOST_TEST(replies.size() == 2U);
    BOOST_TEST(replies.count("d1") == 1U);
    BOOST_TEST((std::chrono::steady_clock::now() - start < milliseconds(2000)));
  });
}

BOOST_AUTO_TEST_CASE(store_is_not_sent_again_to_daemon_that_is_only_slow) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->Stall();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(1500), 2);
    for (const auto& it : daemons.all) {
      BOOST_TEST(it->stores() == 1);
    }
  });
}

BOOST_AUTO_TEST_CASE(turn_is_stored_through_relay_that_takes_long) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    for (const auto& it : daemons.all) {
      it->Silence();
    }
    daemons.Call(fiber, StorageOperation::kStore, milliseconds(400), 2);
    daemons.relay_time = milliseconds(600);
    // By then the relay is used again.
    fiber.Sleep(milliseconds(2500));
    const auto replies =
        daemons.Call(fiber, StorageOperation::kStore, milliseconds(4000), 2);
    BOOST_TEST(replies.size() == 2U);
  });
}

// The calls waited for the dead one until their time was over.
BOOST_AUTO_TEST_CASE(
    dead_daemon_is_passed_over_when_the_hedge_budget_is_spent) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    constexpr milliseconds kTimeout{4000};
    constexpr std::size_t kCalls = 8;
    daemons.all[0]->Silence();
    while (daemons.client.TakeRetry()) {
    }
    const auto start = std::chrono::steady_clock::now();
    std::size_t ended = 0;
    for (std::size_t n = 0; n < kCalls; ++n) {
      daemons.loop.Spawn([&](Fiber& child) {
        const auto replies =
            daemons.Call(child, StorageOperation::kChain, kTimeout, 1, 1);
        BOOST_TEST(replies.size() == 1U);
        ++ended;
      });
    }
    while (ended < kCalls) {
      fiber.Sleep(milliseconds(5));
    }
    BOOST_TEST((std::chrono::steady_clock::now() - start < kTimeout / 2));
  });
}

// The sort ran over the beginning of the list.
BOOST_AUTO_TEST_CASE(disk_that_ends_to_be_suspected_during_a_sort) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    const auto& first = daemons.all[0]->member();
    const auto& second = daemons.all[1]->member();
    const auto& early = daemons.all[2]->member();
    const auto began = std::chrono::steady_clock::now();
    daemons.Fail(fiber, 2);
    const auto ended = std::chrono::steady_clock::now();
    // The others are suspected for longer than any clock below.
    fiber.Sleep(milliseconds(300));
    daemons.Fail(fiber, 0);
    daemons.Fail(fiber, 1);
    const std::vector<StorageMember> suspected{first, second, early,
                                               first, second, early};
    const std::vector<StorageMember> trusted{early,  early, first,
                                             second, first, second};
    constexpr milliseconds kSuspicion{1000};
    constexpr milliseconds kStep{5};
    constexpr milliseconds kSort{200};  // More readings than a sort takes.
    bool was_suspected = false;
    bool was_trusted = false;
    for (auto at = began + kSuspicion - kSort; at <= ended + kSuspicion + kStep;
         at += milliseconds(1)) {
      std::vector<StorageMember> sorted;
      {
        const SteppingClock clock(at, kStep);
        sorted = daemons.client.SortByPreference(suspected);
      }
      BOOST_REQUIRE((Disks(sorted) == Disks(suspected) ||
                     Disks(sorted) == Disks(trusted)));
      was_suspected = was_suspected || Disks(sorted) == Disks(suspected);
      was_trusted = was_trusted || Disks(sorted) == Disks(trusted);
    }
    BOOST_TEST(was_suspected);
    BOOST_TEST(was_trusted);
  });
}

// Each repeated request made the others later still.
BOOST_AUTO_TEST_CASE(repeats_stay_few_while_all_daemons_are_late) {
  WithDaemons([](Fiber& fiber, Daemons& daemons) {
    constexpr int kCalls = 100;
    constexpr int kMaxRequests = kCalls * 2 * 130 / 100;
    for (const auto& it : daemons.all) {
      it->Delay(milliseconds(300));
    }
    int ended = 0;
    for (int n = 0; n < kCalls; ++n) {
      daemons.loop.Spawn([&](Fiber& child) {
        daemons.Call(child, StorageOperation::kChain, milliseconds(1200), 2);
        ++ended;
      });
      fiber.Sleep(milliseconds(5));
    }
    while (ended < kCalls) {
      fiber.Sleep(milliseconds(5));
    }
    int requests = 0;
    for (const auto& it : daemons.all) {
      requests += it->requests();
    }
    BOOST_TEST(requests <= kMaxRequests);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
