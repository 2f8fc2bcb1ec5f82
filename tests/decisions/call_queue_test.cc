#include "core/call_queue.h"

#include <algorithm>
#include <deque>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

const auto kAny = [](const QueuedCall&) { return true; };
constexpr seconds kAging{5};

QueuedCall Call(std::uint64_t id,
                const std::string& customer,
                milliseconds cost,
                TimePoint arrived = {}) {
  QueuedCall out;
  out.id = id;
  out.customer = customer;
  out.cost = cost;
  out.arrived = arrived;
  return out;
}

BOOST_AUTO_TEST_CASE(ShortLookupPassesLongTender) {
  CallQueue queue(kAging);
  queue.Push(Call(1, "dealer", milliseconds(9000)));
  queue.Push(Call(2, "dealer", milliseconds(100), TimePoint(milliseconds(1))));
  BOOST_TEST(queue.Take(TimePoint(milliseconds(2)), kAny)->id == 2U);
}

BOOST_AUTO_TEST_CASE(AgedTenderPassesNewLookups) {
  CallQueue queue(kAging);
  queue.Push(Call(1, "dealer", milliseconds(9000)));
  queue.Push(Call(2, "dealer", milliseconds(100), TimePoint(seconds(5))));
  BOOST_TEST(queue.Take(TimePoint(seconds(5)), kAny)->id == 1U);
}

BOOST_AUTO_TEST_CASE(PriorityGoesFirstInsideTheCustomerOnly) {
  CallQueue queue(kAging);
  auto high = Call(2, "a", milliseconds(100));
  high.priority = 9;
  queue.Push(Call(1, "a", milliseconds(100)));
  queue.Push(high);
  queue.Push(Call(3, "b", milliseconds(100)));
  BOOST_TEST(queue.Take({}, kAny)->id == 2U);
  BOOST_TEST(queue.Take({}, kAny)->id == 3U);
}

BOOST_AUTO_TEST_CASE(ProgramServedLeastGoesFirst) {
  CallQueue queue(kAging);
  auto old = Call(1, "a", milliseconds(100));
  old.attained = seconds(30);
  queue.Push(old);
  queue.Push(Call(2, "a", milliseconds(100)));
  BOOST_TEST(queue.Take({}, kAny)->id == 2U);
}

BOOST_AUTO_TEST_CASE(CallThatDoesNotFitLeavesItsTurn) {
  CallQueue queue(kAging);
  queue.Push(Call(1, "a", milliseconds(100)));
  queue.Push(Call(2, "b", milliseconds(100)));
  const auto taken =
      queue.Take({}, [](const QueuedCall& it) { return it.id != 1; });
  BOOST_TEST(taken->id == 2U);
  BOOST_TEST(queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(IdleCustomerSavesNothingUp) {
  CallQueue queue(kAging);
  for (std::uint64_t i = 0; i < 100; ++i) {
    queue.Push(Call(i, "busy", milliseconds(100)));
  }
  for (int i = 0; i < 50; ++i) {
    queue.Take({}, kAny);
  }
  for (std::uint64_t i = 100; i < 200; ++i) {
    queue.Push(Call(i, "idle", milliseconds(100)));
  }
  int busy = 0;
  for (int i = 0; i < 20; ++i) {
    busy += queue.Take({}, kAny)->customer == "busy" ? 1 : 0;
  }
  BOOST_TEST(busy >= 9);
}

// The same choice, spelt out over one list.
class NaiveQueue {
 public:
  void Push(const QueuedCall& call) { calls_.push_back(call); }

  // Ids that the rules allow next: the head of the customer served least for
  // its weight, any of them when two are equal.
  bool MayBeNext(const QueuedCall& taken) const {
    for (const auto& it : calls_) {
      if (it.customer == taken.customer && it.attained < taken.attained &&
          it.arrived <= taken.arrived && it.cost <= taken.cost &&
          it.priority >= taken.priority) {
        return false;
      }
    }
    return true;
  }
  void Remove(std::uint64_t id) {
    std::erase_if(calls_, [id](const auto& it) { return it.id == id; });
  }
  std::size_t size() const { return calls_.size(); }

 private:
  std::deque<QueuedCall> calls_;
};

BOOST_AUTO_TEST_CASE(AgreesWithNaiveQueue) {
  BOOST_TEST(rc::check("dominated calls never go first, none is lost", [] {
    CallQueue queue(kAging);
    NaiveQueue naive;
    const auto n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      auto call = Call(static_cast<std::uint64_t>(i),
                       *rc::gen::element<std::string>("a", "b", "c"),
                       milliseconds(*rc::gen::inRange(1, 5000)));
      call.attained = milliseconds(*rc::gen::inRange(0, 9000));
      call.priority = *rc::gen::inRange(0, 3);
      call.weight = *rc::gen::inRange(1, 4);
      queue.Push(call);
      naive.Push(call);
    }
    while (queue.size() > 0) {
      const auto taken = queue.Take(TimePoint(milliseconds(1)), kAny);
      RC_ASSERT(taken.has_value());
      // Levels are coarse: a call that is better by less than a level may
      // wait for one that came with it.
      auto coarse = *taken;
      coarse.attained =
          std::max(nanoseconds(), (coarse.attained + coarse.cost) / 2 -
                                      seconds(1) - coarse.cost);
      RC_ASSERT(naive.MayBeNext(coarse));
      naive.Remove(taken->id);
      RC_ASSERT(naive.size() == queue.size());
    }
  }));
}

BOOST_AUTO_TEST_CASE(SharesFollowWeights) {
  BOOST_TEST(rc::check("served cost per weight stays within one call", [] {
    CallQueue queue(kAging);
    std::map<std::string, int> weights;
    std::map<std::string, nanoseconds> served;
    std::uint64_t id = 0;
    constexpr int kCalls = 200;
    const milliseconds longest(400);
    for (const auto* name : {"a", "b", "c"}) {
      weights[name] = *rc::gen::inRange(1, 6);
      for (int i = 0; i < kCalls; ++i) {
        auto call = Call(id++, name, milliseconds(*rc::gen::inRange(1, 401)));
        call.weight = weights[name];
        queue.Push(call);
      }
    }
    // While all three have calls waiting.
    for (int i = 0; i < kCalls; ++i) {
      const auto taken = queue.Take({}, kAny);
      served[taken->customer] += taken->cost;
      for (const auto& [a, a_weight] : weights) {
        for (const auto& [b, b_weight] : weights) {
          const auto lead = served[a] / a_weight - served[b] / b_weight;
          RC_ASSERT(lead <= longest / a_weight + longest / b_weight);
        }
      }
    }
  }));
}

BOOST_AUTO_TEST_CASE(NoCallStarves) {
  BOOST_TEST(rc::check("an aged call goes before later ones", [] {
    CallQueue queue(kAging);
    auto victim = Call(0, "a", milliseconds(60000));
    victim.attained = seconds(1000);
    queue.Push(victim);
    // A customer of its own and a better call at every step.
    std::uint64_t id = 1;
    TimePoint now{};
    const auto step = milliseconds(*rc::gen::inRange(10, 200));
    const auto others = *rc::gen::inRange(0, 4);
    int after_aging = 0;
    while (true) {
      queue.Push(Call(id++, "a", milliseconds(10), now));
      for (int i = 0; i < others; ++i) {
        queue.Push(
            Call(id++, "other" + std::to_string(i), milliseconds(10), now));
      }
      now += step;
      if (queue.Take(now, kAny)->id == 0) {
        break;
      }
      after_aging += now.time_since_epoch() >= kAging ? 1 : 0;
      RC_ASSERT(after_aging <= others + 1);
    }
  }));
}

}  // namespace
}  // namespace comfreyfold
