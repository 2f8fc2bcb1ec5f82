// A burst of programs on engines that carry half of it: what their callers get.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "core/program_slack.h"
#include "core/server_pool.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kEngines = 4;
constexpr int kSlots = 8;
constexpr int kTurns = 5;
constexpr milliseconds kPause{150};
constexpr milliseconds kTurnWhenIdle{160};
constexpr milliseconds kTurnSlowed{64};  // Beyond that, with all slots taken.
constexpr milliseconds kEvery{50};       // Programs, outside the burst.
constexpr milliseconds kBurstFrom{3000};
constexpr milliseconds kBurstTo{7000};
constexpr milliseconds kEnd{20000};
constexpr milliseconds kObjective =
    (kTurns * kTurnWhenIdle + (kTurns - 1) * kPause) * 8 / 5;
constexpr milliseconds kComesBackAfter{500};
constexpr int kMostTries = 5;

// One daemon, its engines and its callers, on a clock of its own.
class World {
 public:
  // With `knows_late` false a program that comes back is taken for one that
  // can still be in time.
  explicit World(bool knows_late) : knows_late_(knows_late) {
    std::vector<BackendServer> engines;
    for (int n = 0; n < kEngines; ++n) {
      BackendServer it;
      it.id = "engine" + std::to_string(n);
      it.address = it.id;
      it.data_centre = "north";
      it.slots = kSlots;
      engines.push_back(it);
    }
    pool_.Update(engines, now_);
  }

  void Play() {
    const auto start = now_;
    for (auto at = milliseconds(0); at < kEnd;) {
      At(start + at, [this] { Try(++programs_begun_); });
      const bool in_burst = at >= kBurstFrom && at < kBurstTo;
      at += in_burst ? kEvery / 2 : kEvery;
    }
    while (!events_.empty()) {
      const auto first = events_.begin();
      now_ = first->first;
      const auto event = std::move(first->second);
      events_.erase(first);
      event();
    }
  }

  int asked() const { return static_cast<int>(programs_begun_); }
  int in_time() const { return in_time_; }
  int late() const { return late_; }

 private:
  struct Program {
    TimePoint arrived{};
    int tries = 0;
    int turns = 0;
    bool taken = false;
  };

  void At(TimePoint time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }

  SlotRequest AskOf(std::uint64_t id, const Program& program) {
    SlotRequest out;
    out.ticket = id;
    out.priority = 1;
    out.arrived = now_;
    out.acquire_by = now_ + milliseconds(1600);
    out.session = "program" + std::to_string(id);
    out.prompt = {{out.session, 1000}};
    if (program.turns > 0) {
      return out;
    }
    out.stage =
        program.tries > 1 ? ProgramStage::kReturning : ProgramStage::kNew;
    const auto age =
        std::chrono::duration_cast<milliseconds>(now_ - program.arrived);
    slack_.OnTurnStart(out.session, kObjective - age, now_);
    if (program.tries > 1 && knows_late_) {
      slack_.OnRejections(out.session, kObjective - age, age);
    }
    out.late = slack_.Remaining(out.session).count() < 0;
    return out;
  }

  void Try(std::uint64_t id) {
    auto& program = programs_[id];
    program.arrived = program.tries == 0 ? now_ : program.arrived;
    ++program.tries;
    const auto ask = AskOf(id, program);
    if (const auto place = pool_.TryAcquire(ask, now_)) {
      Run(id, *place);
    } else if (program.turns > 0) {
      pool_.Enqueue(ask);
    } else if (program.tries < kMostTries) {
      At(now_ + kComesBackAfter, [this, id] { Try(id); });
    }
  }

  void Run(std::uint64_t id, const AcquiredSlot& place) {
    const int running = ++running_[place.server_id];
    pool_.ObserveResponseStart(place.server_id, ServerLoad{running, 0, kSlots},
                               milliseconds(40), now_);
    const auto took = kTurnWhenIdle + kTurnSlowed * running / kSlots;
    At(now_ + took, [this, id, place, took] {
      --running_[place.server_id];
      pool_.Release(place.server_id, ExchangeResult::kAnswered, {}, took, now_);
      Ended(id);
      for (const auto& it : pool_.AssignSlots(now_)) {
        Run(it.ticket, it.slot);
      }
    });
  }

  void Ended(std::uint64_t id) {
    auto& program = programs_[id];
    if (++program.turns < kTurns) {
      At(now_ + kPause, [this, id] { Try(id); });
    } else if (now_ - program.arrived <= kObjective) {
      ++in_time_;
    } else {
      ++late_;
    }
  }

  bool knows_late_;
  TimePoint now_{milliseconds(100000)};
  ServerPool pool_{"north", true};
  ProgramSlack slack_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<std::uint64_t, Program> programs_;
  std::map<std::string, int> running_;
  std::uint64_t programs_begun_ = 0;
  int in_time_ = 0;
  int late_ = 0;
};

BOOST_AUTO_TEST_SUITE(program_admission)

// Twice the usual load for four seconds of twenty. Nine tenths of the slots
// carry 26 of its 40 programs a second, so 56 cannot be served in time: nine of
// ten others are.
BOOST_AUTO_TEST_CASE(a_burst_leaves_most_programs_in_time) {
  constexpr int kBeyondCapacity = 56;
  World world(true);
  world.Play();
  BOOST_TEST(world.in_time() * 10 >= (world.asked() - kBeyondCapacity) * 9);
  BOOST_TEST(world.late() * 20 <= world.asked());
}

BOOST_AUTO_TEST_CASE(those_that_can_only_be_late_do_not_delay_others) {
  World world(true);
  World unknowing(false);
  world.Play();
  unknowing.Play();
  BOOST_TEST(world.in_time() > unknowing.in_time());
  BOOST_TEST(world.late() < unknowing.late());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
