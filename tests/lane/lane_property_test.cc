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
  kDeliverLate,
};

struct Step {
  Action action = Action::kTake;
  int owner = 0;
  int program = 0;
  Fate fate = Fate::kAnswered;
  int after = 0;  // Requests that are answered before `fate` strikes.
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << "{" << static_cast<int>(step.action) << ", " << step.owner
             << ", " << step.program << ", " << static_cast<int>(step.fate)
             << ", " << step.after << "}";
}

// Takes and calls are drawn more often than the rest, faults seldom.
Action ActionOf(int draw) {
  constexpr Action kActions[] = {
      Action::kTake,     Action::kTake,     Action::kBegin,
      Action::kBegin,    Action::kBegin,    Action::kBegin,
      Action::kFinish,   Action::kFinish,   Action::kEnd,
      Action::kForget,   Action::kSnapshot, Action::kSnapshot,
      Action::kSnapshot, Action::kDie,      Action::kDeliverLate};
  return kActions[static_cast<std::size_t>(draw) % std::size(kActions)];
}

Fate FateOf(int draw) {
  switch (draw) {
    case 0:
      return Fate::kLost;
    case 1:
      return Fate::kLostAnswer;
    case 2:
      return Fate::kLate;
    default:
      return Fate::kAnswered;
  }
}

rc::Gen<std::vector<Step>> GenSteps() {
  return rc::gen::container<std::vector<Step>>(rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 15), rc::gen::inRange(0, kOwners),
                     rc::gen::inRange(0, kPrograms), rc::gen::inRange(0, 12),
                     rc::gen::inRange(0, 2)),
      [](const std::tuple<int, int, int, int, int>& it) {
        return Step{ActionOf(std::get<0>(it)), std::get<1>(it), std::get<2>(it),
                    FateOf(std::get<3>(it)), std::get<4>(it)};
      }));
}

// Plays the steps: each program makes one non-idempotent call after the
// other, through whichever owner the step names. What an owner was told is
// remembered in plain maps.
class Play {
 public:
  Play(Fiber& fiber, LaneWorld& world)
      : fiber_(fiber), world_(world), owners_(kOwners) {}

  void Do(const Step& step) {
    std::deque<Fate> fates(static_cast<std::size_t>(step.after),
                           Fate::kAnswered);
    fates.push_back(step.fate);
    world_.SetFates(std::move(fates));
    try {
      Act(step);
    } catch (const LaneLost&) {
      owners_[Index(step)].reset();
    } catch (const AppendTimeout&) {
      // Told "not run" or "may have run": nothing is counted on.
    } catch (const KvUnavailable&) {
    }
    world_.SetFates({});
  }

  void Check() {
    world_.DeliverLate(fiber_);
    RC_ASSERT(world_.repeated_block() == 0);
    for (const auto& [call, n] : dispatched_) {
      RC_ASSERT(n <= 1);
    }
    const auto naive = world_.NaiveState();
    const auto replay = world_.MakeJournal().Replay(fiber_);
    RC_ASSERT(replay.state.Snapshot() == naive.Snapshot());
    for (const auto& [asked, answer] : answered_) {
      const Call call = asked;
      const auto* program = naive.Find({"c", call.first});
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

  void Act(const Step& step) {
    auto& owner = owners_[Index(step)];
    if (step.action == Action::kTake) {
      auto taker = world_.MakeOwner("d" + std::to_string(step.owner));
      taker->Open(fiber_);
      owner = std::move(taker);
      return;
    }
    if (step.action == Action::kDeliverLate) {
      world_.DeliverLate(fiber_);
      return;
    }
    if (!owner || owner->lost()) {
      return;
    }
    const auto program = "p" + std::to_string(step.program);
    switch (step.action) {
      case Action::kBegin:
        // The keys of a program that was forgotten are new again.
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

  // Asks for the program's first call that nobody has been answered.
  void Begin(LaneOwner& owner, const std::string& program) {
    const auto key = "k" + std::to_string(next_[program]);
    const auto admission = owner.state().Admit(Claim(program, key));
    if (admission.result != AdmitResult::kNew &&
        admission.result != AdmitResult::kMayRepeat) {
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

BOOST_AUTO_TEST_CASE(any_history_agrees_with_the_naive_lane) {
  const bool held = rc::check("lane against its naive version", [] {
    const auto steps = *GenSteps();
    LaneSettings settings;
    settings.retention = std::chrono::hours(1);
    InLane(settings, [&steps](Fiber& fiber, LaneWorld& world) {
      Play play(fiber, world);
      for (const auto& it : steps) {
        play.Do(it);
      }
      play.Check();
    });
  });
  BOOST_TEST(held);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::lane
