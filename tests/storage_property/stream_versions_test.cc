// Guards against a stream that goes on at another software version than the one
// that began it: the version is recorded at replicas that miss messages, and
// read from any quorum of them, while servers of several versions come and go.

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "core/token_ledger.h"

namespace comfreyfold {
namespace {

constexpr int kReplicas = 3;
constexpr int kQuorum = 2;
constexpr int kStreams = 3;
constexpr int kVersions = 3;

enum class StepKind {
  kPlan,
  kBegin,
  kEvent,
  kSettle,
  kResume,
  kLast = kResume
};

struct Step {
  StepKind kind = StepKind::kPlan;
  int stream = 0;
  int version = 0;
  // Replicas that get the message of the step, in this order.
  std::vector<int> order;
  int reached = 0;
};

struct Stream {
  TokenUse use;
  std::string server_version;  // Of the server that runs it.
  bool recorded = false;       // At a quorum, for that server.
  std::string events_from;     // Version that wrote its events.
  bool joined = false;         // It has events of two versions.
};

class VersionModel {
 public:
  VersionModel() : replicas_(kReplicas), streams_(kStreams) {
    for (int n = 0; n < kStreams; ++n) {
      streams_[n].use.program = "program";
      streams_[n].use.request = "r" + std::to_string(n);
    }
  }

  void Apply(const Step& step) {
    auto& it = streams_[step.stream];
    const auto version = "v" + std::to_string(step.version);
    switch (step.kind) {
      case StepKind::kPlan:
        if (it.use.version_choice == 0) {
          it.use.version = version;
          it.use.version_choice = 1;
          is_planned_[step.stream] = Store(it.use, step) >= kQuorum;
        }
        break;
      case StepKind::kBegin:
        Begin(it, version, step);
        break;
      case StepKind::kEvent:
        if (it.recorded && it.events_from.empty()) {
          it.events_from = it.server_version;
        }
        break;
      case StepKind::kSettle:
        it.use.settled = true;
        Store(it.use, step);
        break;
      case StepKind::kResume:
        Resume(it, step);
        break;
    }
  }

  bool AnyJoined() const {
    return std::any_of(streams_.begin(), streams_.end(),
                       [](const Stream& it) { return it.joined; });
  }
  int resumed() const { return resumed_; }

 private:
  int Store(const TokenUse& use, const Step& step) {
    for (int n = 0; n < step.reached; ++n) {
      replicas_[step.order[n]].Merge({use});
    }
    return step.reached;
  }

  // A server runs the request; an earlier one gave it back without an event.
  void Begin(Stream& it, const std::string& version, const Step& step) {
    if (!is_planned_[step.stream] || !it.events_from.empty()) {
      return;
    }
    it.server_version = version;
    if (it.use.version == version) {
      it.recorded = it.use.version_choice == 1 || it.recorded;
      return;
    }
    it.use.version = version;
    ++it.use.version_choice;
    it.recorded = Store(it.use, step) >= kQuorum;
  }

  // Reads a quorum, and goes on at a server of the version that it tells.
  void Resume(Stream& it, const Step& step) {
    if (it.events_from.empty()) {
      return;
    }
    TokenLedger ledger;
    for (int n = 0; n < kQuorum; ++n) {
      for (const auto& use : replicas_[step.order[n]].ForProgram("program")) {
        ledger.Merge(use);
      }
    }
    const auto found = ledger.UseOf(it.use.request).version;
    ++resumed_;
    it.joined = it.joined || found != it.events_from;
  }

  std::vector<TokenLedgers> replicas_;
  std::vector<Stream> streams_;
  std::map<int, bool> is_planned_;
  int resumed_ = 0;
};

Step AnyStep() {
  Step out;
  out.kind = static_cast<StepKind>(
      *rc::gen::inRange(0, static_cast<int>(StepKind::kLast) + 1));
  out.stream = *rc::gen::inRange(0, kStreams);
  out.version = *rc::gen::inRange(0, kVersions);
  out.order = {0, 1, 2};
  std::rotate(out.order.begin(),
              out.order.begin() + *rc::gen::inRange(0, kReplicas),
              out.order.end());
  if (*rc::gen::arbitrary<bool>()) {
    std::swap(out.order[1], out.order[2]);
  }
  out.reached = *rc::gen::weightedElement<int>(
      {{1, 0}, {1, 1}, {4, kQuorum}, {4, kReplicas}});
  return out;
}

BOOST_AUTO_TEST_SUITE(stream_versions)

RC_BOOST_PROP(quorum_tells_version_that_wrote_the_first_event, ()) {
  VersionModel model;
  const int steps = *rc::gen::inRange(20, 150);
  for (int n = 0; n < steps; ++n) {
    model.Apply(AnyStep());
  }
  RC_CLASSIFY(model.resumed() > 0, "resumed");
  RC_ASSERT(!model.AnyJoined());
}

BOOST_AUTO_TEST_CASE(last_choice_of_version_counts_in_any_order) {
  TokenUse planned{"p", "r", 8};
  planned.version = "v2";
  planned.version_choice = 1;
  auto chosen = planned;
  chosen.version = "v1";
  chosen.version_choice = 2;
  auto settled = planned;
  settled.settled = true;
  std::vector<TokenUse> uses{planned, chosen, settled};
  for (int n = 0; n < 3; ++n) {
    TokenLedger ledger;
    for (const auto& it : uses) {
      ledger.Merge(it);
    }
    BOOST_TEST(ledger.UseOf("r").version == "v1");
    std::rotate(uses.begin(), uses.begin() + 1, uses.end());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
