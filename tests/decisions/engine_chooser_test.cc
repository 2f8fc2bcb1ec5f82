#include "core/engine_chooser.h"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "core/backend_health.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture {
  DecisionSettings settings;
  EngineChooser chooser{settings, 1};
  TimePoint now{seconds(100)};

  Fixture() {
    for (const auto* it : {"e0", "e1", "e2"}) {
      chooser.SetServer(it, true);
    }
  }
  void Run(const std::string& engine,
           const std::string& program,
           std::int64_t tokens,
           std::int64_t cached = 0) {
    chooser.Dispatched(engine);
    chooser.Finished({engine, program, tokens, cached, milliseconds(100)}, now);
  }
  std::string Choose(const EngineRequest& request) {
    return chooser.Choose(request, {}, now)->engine;
  }
};

BOOST_FIXTURE_TEST_CASE(ReturnsToTheCache, Fixture) {
  Run("e2", "p", 5000);
  BOOST_TEST(Choose({"p", 5100, 5000}) == "e2");
}

BOOST_FIXTURE_TEST_CASE(LeavesTheCacheWhenTheWaitCostsMore, Fixture) {
  Run("e2", "p", 500);
  for (int i = 0; i < 20; ++i) {
    chooser.Dispatched("e2");
  }
  BOOST_TEST(Choose({"p", 600, 500}) != "e2");
  BOOST_TEST(Choose({"q", 90000, 0}) != "e2");
}

BOOST_FIXTURE_TEST_CASE(StaysForALongContext, Fixture) {
  Run("e2", "p", 200000);
  for (int i = 0; i < 20; ++i) {
    chooser.Dispatched("e2");
  }
  BOOST_TEST(Choose({"p", 200100, 200000}) == "e2");
}

BOOST_FIXTURE_TEST_CASE(LearnsThatAnEngineForgets, Fixture) {
  Run("e2", "p", 5000);
  now += seconds(10);
  Run("e2", "p", 5000, 0);
  BOOST_TEST(chooser.Residence("e2").has_value());
  now += seconds(30);
  const auto choice = chooser.Choose({"p", 5100, 5000}, {"e2"}, now);
  BOOST_TEST(choice->cached_tokens == 0);
}

BOOST_FIXTURE_TEST_CASE(SlotsAreSharedByLanes, Fixture) {
  chooser.SetOwnedLanes(10);
  chooser.ObservePeer("d1", 10, now);
  BOOST_TEST(chooser.ShareOfSlots(now) == 12);
  chooser.SetOwnedLanes(30);
  BOOST_TEST(chooser.ShareOfSlots(now) == 18);
  // Never under its even part, however much the peer has to do.
  chooser.ObservePeer("d1", 1000, now);
  BOOST_TEST(chooser.ShareOfSlots(now) == 12);
  // A peer that is heard of no more leaves its part.
  now += settings.peer_report_timeout + milliseconds(1);
  BOOST_TEST(chooser.ShareOfSlots(now) == 24);
}

BOOST_FIXTURE_TEST_CASE(FewOwnCallsDoNotDriveAProgramFromItsCache, Fixture) {
  chooser.SetOwnedLanes(10);
  for (const auto* it : {"d1", "d2", "d3", "d4", "d5"}) {
    chooser.ObservePeer(it, 10, now);
  }
  Run("e2", "p", 1500);
  chooser.Dispatched("e2");
  chooser.Dispatched("e2");
  BOOST_TEST(Choose({"p", 1600, 1500}) == "e2");
  BOOST_TEST(chooser.HasRoom("e2", now));
  // No more than its share of all slots.
  chooser.Dispatched("e0");
  chooser.Dispatched("e1");
  BOOST_TEST(!chooser.HasRoom("e2", now));
}

BOOST_FIXTURE_TEST_CASE(EngineOverTheHoldsShareIsShortOfMemory, Fixture) {
  BOOST_TEST(!chooser.MemoryShort("e0"));  // Tells nothing.
  chooser.ObserveLoad("e0", {.memory_tokens = 1000, .held_tokens = 500});
  BOOST_TEST(!chooser.MemoryShort("e0"));
  chooser.ObserveLoad("e0", {.memory_tokens = 1000, .held_tokens = 501});
  BOOST_TEST(chooser.MemoryShort("e0"));
  settings.hold_memory_share = 0;  // No bound.
  BOOST_TEST(!chooser.MemoryShort("e0"));
}

BOOST_FIXTURE_TEST_CASE(ServerThatFailedTheCallIsLast, Fixture) {
  BOOST_TEST(Choose({"p", 100, 0, 0, {"e0", "e1"}}) == "e2");
  // Better than none.
  BOOST_TEST(!Choose({"p", 100, 0, 0, {"e0", "e1", "e2"}}).empty());
}

BOOST_AUTO_TEST_CASE(NeverChoosesALeavingOrEjectedServer) {
  BOOST_TEST(rc::check("while another one is there", [] {
    DecisionSettings settings;
    EngineChooser chooser(settings, *rc::gen::arbitrary<std::uint64_t>());
    BackendHealth health(settings);
    TimePoint now(seconds(1));
    std::map<std::string, bool> leaving;
    const auto n = *rc::gen::inRange(2, 8);
    std::vector<BackendHealth::Candidate> candidates;
    for (int i = 0; i < n; ++i) {
      const auto id = "e" + std::to_string(i);
      leaving[id] = *rc::gen::inRange(0, 3) == 0;
      chooser.SetServer(id, !leaving[id]);
      chooser.Dispatched(id);
      chooser.Finished(
          {id, "p", *rc::gen::inRange(0, 90000), 0, milliseconds(50)}, now);
      if (!leaving[id]) {
        candidates.push_back({id, 0});
      }
    }
    // Fewer than half are ejected, so the bound does not re-admit any.
    const auto bad = candidates.size() / 2;
    for (std::size_t i = 0; i < bad; ++i) {
      for (int k = 0; k < settings.ejection_failures; ++k) {
        health.Failed(candidates[i].id, now);
      }
    }
    const auto usable = health.Usable(candidates, now);
    const auto choice = usable.empty()
                            ? std::nullopt
                            : chooser.Choose({"p", 90000, 90000}, usable, now);
    RC_ASSERT(choice.has_value() == !candidates.empty());
    if (choice) {
      RC_ASSERT(!leaving[choice->engine]);
      RC_ASSERT(!health.IsEjected(choice->engine, now));
    }
  }));
}

}  // namespace
}  // namespace comfreyfold
