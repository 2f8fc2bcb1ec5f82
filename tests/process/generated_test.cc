#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>

#include <boost/test/unit_test.hpp>

#include "process/failure.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;

constexpr unsigned kSeeds = 2;
constexpr int kSteps = 6;
constexpr int kPrograms = 3;
constexpr int kMostFailures = 2;
constexpr milliseconds kRunTime{200};

// COMFREYFOLD_SEEDS=N runs the seeds 1 to N.
unsigned Seeds() {
  const char* text = std::getenv("COMFREYFOLD_SEEDS");
  return text == nullptr
             ? kSeeds
             : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

// One call of a generated sequence.
struct Step {
  std::unique_ptr<Booking> booking;
  std::string told;  // The verdict of the first answer.
  bool given_up = false;
  bool runs_lost = false;
};

class Sequence {
 public:
  Sequence(Cluster& cluster, unsigned seed)
      : cluster_(cluster), seed_(seed), random_(seed) {}

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      RunStep(i);
    }
    for (auto& it : steps_) {
      Check(it);
    }
  }

 private:
  int Draw(int bound) {
    return static_cast<int>(random_() % static_cast<unsigned>(bound));
  }

  void RunStep(int number) {
    Step step;
    step.booking = std::make_unique<Booking>(
        cluster_,
        "s" + std::to_string(seed_) + "-" + std::to_string(Draw(kPrograms)),
        "k" + std::to_string(number));
    Scene scene{cluster_, *step.booking};
    cluster_.WaitFor("an owner", [&] {
      scene.owner = cluster_.OwnerOf("bandwerk", step.booking->program());
      return scene.owner >= 0;
    });
    scene.entry = Draw(cluster_.daemons());
    const bool early = Draw(2) == 0;
    HangTools(cluster_, -1, kRunTime);
    step.booking->Start(scene.entry);
    if (!early) {
      cluster_.WaitFor("the call to run or end", [&] {
        return step.booking->ended() || step.booking->Runs() > 0;
      });
    }
    std::vector<const Failure*> struck;
    for (int n = Draw(kMostFailures + 1); n > 0; --n) {
      struck.push_back(&AllFailures()[static_cast<std::size_t>(
          Draw(static_cast<int>(AllFailures().size())))]);
      struck.back()->strike(scene);
      if (struck.back()->loses_runs) {
        LoseRuns();
        step.runs_lost = true;
      }
    }
    // An entry that is frozen itself keeps its caller waiting.
    const bool heal_first = scene.entry == scene.owner || Draw(2) == 0;
    if (!heal_first) {
      step.booking->Wait();
    }
    for (const auto* it : struck) {
      it->heal(scene);
    }
    step.told = step.booking->Wait().verdict;
    step.given_up = step.told == "not_run" && Draw(2) == 0;
    steps_.push_back(std::move(step));
  }

  void LoseRuns() {
    for (auto& it : steps_) {
      it.runs_lost = true;
    }
  }

  void Check(Step& step) {
    if (!step.given_up) {
      const auto answer = step.booking->Settle(Draw(cluster_.daemons()));
      if (answer.status == 200 && !step.runs_lost) {
        BOOST_TEST(step.booking->Runs() == 1);
      }
    } else {
      BOOST_TEST(step.booking->Runs() == 0);
    }
    BOOST_TEST(step.booking->Runs() <= 1);
  }

  Cluster& cluster_;
  unsigned seed_;
  std::mt19937 random_;
  std::vector<Step> steps_;
};

BOOST_AUTO_TEST_SUITE(generated)

BOOST_AUTO_TEST_CASE(generated_failures_never_run_a_call_twice) {
  for (unsigned seed = 1; seed <= Seeds(); ++seed) {
    std::cout << "seed " << seed << std::endl;
    BOOST_TEST_CONTEXT("seed " << seed) {
      ClusterOptions options;
      options.settings["calls"] = "deadline = 8s\n";
      InCluster(options, [seed](Fiber&, Cluster& cluster) {
        Sequence(cluster, seed).Run();
      });
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
