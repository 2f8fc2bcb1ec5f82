#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "lane/entries.h"
#include "lane/lane_world.h"

namespace comfreyfold::lane {
namespace {

using std::chrono::milliseconds;

constexpr int kOwners = 3;
constexpr int kPrograms = 3;
constexpr milliseconds kAppendTimeout{120};

enum class Action {
  kTake,
  kBegin,
  kFinish,
  kEnd,
  kForget,
  kSnapshot,
  kDie,
  kDeliverDelayed,
};

struct Step {
  Action action = Action::kTake;
  int owner = 0;
  int program = 0;
  Delivery delivery = Delivery::kAnswered;
  int after = 0;  // Requests that are answered before `delivery` applies.
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.action) << ", " << step.owner
             << ", " << step.program << ", " << static_cast<int>(step.delivery)
             << ", " << step.after << "}";
}

// Takeovers, calls and snapshots are drawn more often than other actions.
Action ActionOf(int draw) {
  constexpr Action kActions[] = {
      Action::kTake,     Action::kTake,     Action::kBegin,
      Action::kBegin,    Action::kBegin,    Action::kBegin,
      Action::kFinish,   Action::kFinish,   Action::kEnd,
      Action::kForget,   Action::kSnapshot, Action::kSnapshot,
      Action::kSnapshot, Action::kDie,      Action::kDeliverDelayed};
  return kActions[static_cast<std::size_t>(draw) % std::size(kActions)];
}

// Three of twelve draws are faults; the others deliver the request normally.
Delivery DeliveryOf(int draw) {
  switch (draw) {
    case 0:
      return Delivery::kRequestLost;
    case 1:
      return Delivery::kAnswerLost;
    case 2:
      return Delivery::kDelayed;
    default:
      return Delivery::kAnswered;
  }
}

rc::Gen<std::vector<Step>> GenSteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange(0, kOwners),
                     rc::gen::inRange(0, kPrograms), rc::gen::inRange(0, 12),
                     rc::gen::inRange(0, 2)),
      [](const std::tuple<int, int, int, int, int>& it) {
        return Step{ActionOf(std::get<0>(it)), std::get<1>(it), std::get<2>(it),
                    DeliveryOf(std::get<3>(it)), std::get<4>(it)};
      }));
}

// Executes a history of steps. Each program makes its non-idempotent calls one
// after the other, through the owner that the step names. The dispatches and
// answers that the owners reported are kept in maps and compared with the
// journal at the end.
class HistoryRunner {
 public:
  HistoryRunner(Fiber& fiber, LaneWorld& world)
      : fiber_(fiber), world_(world), owners_(kOwners) {}

  void Execute(const Step& step) {
    std::deque<Delivery> deliveries(static_cast<std::size_t>(step.after),
                                    Delivery::kAnswered);
    deliveries.push_back(step.delivery);
    world_.SetDeliveries(std::move(deliveries));
    try {
      Apply(step);
    } catch (const LaneLost&) {
      owners_[Index(step)].reset();
    } catch (const AppendTimeout&) {
      // The caller was told "not run" or "may have run", so nothing is
      // recorded.
    } catch (const KvUnavailable&) {
    }
    world_.SetDeliveries({});
  }

  void Check() {
    world_.DeliverDelayed(fiber_);
    RC_ASSERT(world_.repeated_block() == 0);
    for (const auto& [call, n] : dispatched_) {
      RC_ASSERT(n <= 1);
    }
    const auto reference = world_.ReferenceState();
    const auto replay = world_.MakeJournal().Replay(fiber_);
    RC_ASSERT(replay.state.Snapshot() == reference.Snapshot());
    for (const auto& [asked, answer] : answered_) {
      const Call call = asked;
      const auto* program = reference.Find({"c", call.first});
      if (forgotten_.contains(call.first)) {
        continue;
      }
      RC_ASSERT(program != nullptr);
      const auto it = std::find_if(
          program->calls.begin(), program->calls.end(),
          [&](const auto& record) { return record.key == call.second; });
      RC_ASSERT(it != program->calls.end());
      RC_ASSERT(it->answer == answer);
    }
  }

 private:
  using Call = std::pair<std::string, std::string>;

  static std::size_t Index(const Step& step) {
    return static_cast<std::size_t>(step.owner);
  }

  void Apply(const Step& step) {
    auto& owner = owners_[Index(step)];
    if (step.action == Action::kTake) {
      auto taker = world_.MakeOwner("d" + std::to_string(step.owner));
      taker->Open(fiber_);
      owner = std::move(taker);
      return;
    }
    if (step.action == Action::kDeliverDelayed) {
      world_.DeliverDelayed(fiber_);
      return;
    }
    if (!owner || owner->lost()) {
      return;
    }
    const auto program = "p" + std::to_string(step.program);
    switch (step.action) {
      case Action::kBegin:
        // The keys of a forgotten program would count as new.
        if (!forgotten_.contains(program)) {
          Begin(*owner, program);
        }
        break;
      case Action::kFinish:
        Finish(*owner, program, step.owner);
        break;
      case Action::kEnd:
        owner->Append(fiber_, {Entry(EntryKind::kProgramEnded, program, "")},
                      kAppendTimeout);
        break;
      case Action::kForget:
        Forget(*owner, program);
        break;
      case Action::kSnapshot:
        owner->SaveSnapshot(fiber_);
        break;
      default:
        owner.reset();
        break;
    }
  }

  void Forget(LaneOwner& owner, const std::string& program) {
    const auto* state = owner.state().Find({"c", program});
    if (state == nullptr || !state->ended) {
      return;
    }
    forgotten_.insert(program);
    owner.Append(fiber_, {Entry(EntryKind::kProgramForgotten, program, "")},
                 kAppendTimeout);
  }

  // Begins the program's first call that has no answer yet.
  void Begin(LaneOwner& owner, const std::string& program) {
    const auto key = "k" + std::to_string(next_[program]);
    const auto admission = owner.state().Admit(Claim(program, key));
    if (admission.result != AdmitResult::kNew &&
        admission.result != AdmitResult::kAgain) {
      if (admission.result == AdmitResult::kMayHaveRun) {
        ++next_[program];
      }
      return;
    }
    auto entry = Entry(EntryKind::kCallBegun, program, key);
    entry.call = admission.call;
    owner.Append(fiber_, {entry}, kAppendTimeout);
    ++dispatched_[{program, key}];
  }

  void Finish(LaneOwner& owner, const std::string& program, int number) {
    const Call call{program, "k" + std::to_string(next_[program])};
    if (!dispatched_.contains(call) || answered_.contains(call)) {
      return;
    }
    const auto answer = call.second + " by " + std::to_string(number);
    owner.Append(fiber_, {Ran(call.first, call.second, answer)},
                 kAppendTimeout);
    answered_[call] = answer;
    ++next_[program];
  }

  Fiber& fiber_;
  LaneWorld& world_;
  std::vector<std::shared_ptr<LaneOwner>> owners_;
  std::map<std::string, int> next_;
  std::map<Call, int> dispatched_;
  std::map<Call, std::string> answered_;
  std::set<std::string> forgotten_;
};

BOOST_AUTO_TEST_SUITE(lane_property)

BOOST_AUTO_TEST_CASE(any_history_matches_the_reference_state) {
  const bool held = rc::check("lane against its reference model", [] {
    const auto steps = *GenSteps();
    LaneSettings settings;
    settings.retention = std::chrono::hours(1);
    RunInLane(settings, [&steps](Fiber& fiber, LaneWorld& world) {
      HistoryRunner runner(fiber, world);
      for (const auto& it : steps) {
        runner.Execute(it);
      }
      runner.Check();
    });
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
