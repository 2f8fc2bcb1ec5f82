// Guards against granting more tokens than a program's budget holds. Concurrent
// reservations are stored at and read from replicas that miss messages and
// answer in any order, and the tokens granted are compared with the budget.

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "core/storage_list.h"
#include "core/token_ledger.h"
#include "core/token_quorum.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr int kToleratedLosses = 1;
constexpr int kReplicas = 2 * kToleratedLosses + 1;
constexpr std::int64_t kBudget = 100;

// Rules for deciding a reservation in one round, i.e. without reading a quorum
// after the store.
enum class OneRoundRule {
  kNever,
  kAlways,
  kNothingUnsettled,  // Each other use seen was settled in at least one answer.
  kQuorumDecides,     // TokenQuorum::IsDecided() returns true.
};

// The state of one reservation. It is stored at a quorum of replicas, then read
// from a quorum if necessary, then decided, and finally settled, one replica at
// a time. Steps of other reservations may come between any two of these steps.
struct RequestState {
  TokenUse use;
  std::int64_t used = 0;  // Tokens that the client uses if it is granted.
  std::vector<int> store_order;
  std::vector<int> read_order;
  std::vector<int> settle_order;
  std::size_t stored = 0;
  std::size_t read = 0;
  std::size_t settled = 0;
  TokenQuorum token_quorum;
  bool needs_read = false;
  bool granted = false;
  bool decided = false;
};

// The replicas of one program's token ledger, and the tokens that were used
// under reservations granted by the rule.
class ReservationModel {
 public:
  explicit ReservationModel(OneRoundRule rule) : rule_(rule) {
    for (int n = 0; n < kReplicas; ++n) {
      list_.members.push_back({"disk" + std::to_string(n), "", "", ""});
    }
    quorum_size_ = list_.ReplicasOf("program", kToleratedLosses).front().quorum;
  }

  // Exchanges one message and its answer with a replica, or decides.
  void Step(RequestState& request) {
    if (request.decided) {
      SettleOnce(request);
    } else if (request.stored < quorum_size_) {
      auto& replica = replicas_[request.store_order[request.stored++]];
      replica.Merge({request.use});
      request.token_quorum.AddAnswer(replica.ForProgram("program"));
      request.needs_read =
          request.stored == quorum_size_ && !DecidesInOneRound(request);
    } else if (request.needs_read && request.read < quorum_size_) {
      request.token_quorum.AddAnswer(
          replicas_[request.read_order[request.read++]].ForProgram("program"));
    } else {
      Decide(request);
    }
  }

  // Tokens used by all clients.
  std::int64_t used() const { return used_; }
  int decided_in_one_round() const { return decided_in_one_round_; }

 private:
  bool DecidesInOneRound(const RequestState& request) const {
    switch (rule_) {
      case OneRoundRule::kNever:
        return false;
      case OneRoundRule::kAlways:
        return true;
      case OneRoundRule::kNothingUnsettled: {
        const auto& uses = request.token_quorum.ledger().uses();
        return std::all_of(uses.begin(), uses.end(), [&](const auto& it) {
          return it.first == request.use.request || it.second.settled;
        });
      }
      case OneRoundRule::kQuorumDecides:
        return request.token_quorum.IsDecided(request.use.request);
    }
    return false;
  }

  void Decide(RequestState& request) {
    request.decided = true;
    request.granted = request.token_quorum.ledger().total() <= kBudget;
    if (request.granted) {
      used_ += request.used;
      decided_in_one_round_ += request.needs_read ? 0 : 1;
    }
  }

  void SettleOnce(RequestState& request) {
    if (request.settled == request.settle_order.size()) {
      return;
    }
    auto use = request.use;
    use.tokens = request.granted ? request.used : 0;
    use.settled = true;
    replicas_[request.settle_order[request.settled++]].Merge({use});
  }

  OneRoundRule rule_;
  StorageList list_;
  std::size_t quorum_size_ = 0;
  std::map<int, TokenLedgers> replicas_;
  std::int64_t used_ = 0;
  int decided_in_one_round_ = 0;
};

std::vector<int> RandomOrder() {
  std::vector<int> order;
  order.reserve(kReplicas);
  for (int n = 0; n < kReplicas; ++n) {
    order.push_back(n);
  }
  for (int n = kReplicas - 1; n > 0; --n) {
    std::swap(order[n], order[*rc::gen::inRange(0, n + 1)]);
  }
  return order;
}

// The request may use fewer tokens than it reserved, and its settlement may
// reach only some of the replicas.
RequestState RandomRequest(int number) {
  RequestState out;
  out.use.program = "program";
  out.use.request = "request" + std::to_string(number);
  out.use.tokens = *rc::gen::inRange(10, 60);
  out.used = *rc::gen::arbitrary<bool>() ? out.use.tokens : out.use.tokens / 2;
  out.store_order = RandomOrder();
  out.read_order = RandomOrder();
  out.settle_order = RandomOrder();
  out.settle_order.resize(*rc::gen::element<std::size_t>(0, 1, 2, kReplicas));
  return out;
}

ReservationModel RunRandomly(OneRoundRule rule) {
  ReservationModel model(rule);
  const int count = *rc::gen::inRange(2, 10);
  std::vector<RequestState> requests;
  requests.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n) {
    requests.push_back(RandomRequest(n));
  }
  // A request may take several steps in a row, so that it can be complete
  // before others begin.
  for (int rounds = 0; rounds < count * 5; ++rounds) {
    auto& request = requests[*rc::gen::inRange(0, count)];
    const int steps = *rc::gen::element(1, 1, 2, 4, 8);
    for (int n = 0; n < steps; ++n) {
      model.Step(request);
    }
  }
  return model;
}

BOOST_AUTO_TEST_SUITE(reservations)

RC_BOOST_PROP(granted_tokens_never_exceed_the_budget, ()) {
  RC_ASSERT(RunRandomly(OneRoundRule::kNever).used() <= kBudget);
}

RC_BOOST_PROP(granted_tokens_never_exceed_the_budget_in_one_round, ()) {
  const auto model = RunRandomly(OneRoundRule::kQuorumDecides);
  RC_CLASSIFY(model.decided_in_one_round() > 1,
              "several reservations decided in one round");
  RC_ASSERT(model.used() <= kBudget);
}

RequestState MakeRequest(const char* name,
                         std::vector<int> store_order,
                         std::vector<int> settle_order) {
  RequestState out;
  out.use = {"program", name, 40, false, {}, ""};
  out.used = 40;
  out.store_order = std::move(store_order);
  out.read_order = {0, 1, 2};
  out.settle_order = std::move(settle_order);
  return out;
}

// Three reservations of 40 tokens each, all of which are used. Each reservation
// sees one of the others: `first` is stored at replica 0 first and at replica 2
// last; `second` is stored at 0 and 1 and sees `first`; `third` is stored at 1
// after `second` was settled there; `first` is stored at 2 after `third` was
// settled there.
std::int64_t RunRing(OneRoundRule rule) {
  ReservationModel model(rule);
  auto first = MakeRequest("first", {0, 2}, {});
  auto second = MakeRequest("second", {0, 1}, {1});
  auto third = MakeRequest("third", {1, 2}, {2});
  model.Step(first);
  for (auto* it : {&second, &third, &first}) {
    for (int n = 0; n < 8; ++n) {
      model.Step(*it);
    }
  }
  return model.used();
}

BOOST_AUTO_TEST_CASE(one_round_requires_settlement_in_every_answer) {
  BOOST_TEST(RunRing(OneRoundRule::kAlways) == 120);
  BOOST_TEST(RunRing(OneRoundRule::kNothingUnsettled) == 120);
  BOOST_TEST(RunRing(OneRoundRule::kQuorumDecides) <= kBudget);
  BOOST_TEST(RunRing(OneRoundRule::kNever) <= kBudget);
}

// A program that spends its budget in turns and then returns again and again
// before its uses expire, each time through replicas of its own.
class ReturningProgram {
 public:
  static constexpr milliseconds kLifetime{90000};
  static constexpr milliseconds kMinCopyAge{10000};
  static constexpr std::int64_t kTurnTokens = 40;

  explicit ReturningProgram(bool copies_uses) : copies_uses_(copies_uses) {}

  // Takes a turn `pause` after the one before.
  void TakeTurn(milliseconds pause,
                const std::vector<int>& store_order,
                const std::vector<int>& read_order) {
    now_ += pause;
    for (int n = 0; n < kReplicas; ++n) {
      replicas_[n].Expire(now_);
    }
    TokenUse use{"program", std::to_string(turns_++), kTurnTokens, false, {}};
    use.expires_at = now_ + kLifetime;
    TokenQuorum quorum;
    Ask(store_order, {use}, quorum);
    if (!quorum.IsDecided(use.request)) {
      auto uses = quorum.UsesToCopy(use, kMinCopyAge);
      if (!uses.empty()) {
        uses.push_back(use);
      }
      Ask(read_order, copies_uses_ ? uses : std::vector<TokenUse>(), quorum);
    }
    const bool granted = quorum.ledger().total() <= kBudget;
    used_ += granted ? kTurnTokens : 0;
    use.tokens = granted ? kTurnTokens : 0;
    use.settled = true;
    TokenQuorum ignored;
    Ask(store_order, {use}, ignored);
  }

  std::int64_t used() const { return used_; }

 private:
  void Ask(const std::vector<int>& order,
           const std::vector<TokenUse>& uses,
           TokenQuorum& quorum) {
    for (int n = 0; n < kReplicas / 2 + 1; ++n) {
      auto& replica = replicas_[order[static_cast<std::size_t>(n)]];
      replica.Merge(uses);
      quorum.AddAnswer(replica.ForProgram("program"));
    }
  }

  bool copies_uses_;
  milliseconds now_{1};
  int turns_ = 0;
  std::int64_t used_ = 0;
  std::map<int, TokenLedgers> replicas_;
};

// Only replica 1 knows all turns; it is not asked the last time.
std::int64_t UsedByReturningProgram(bool copies_uses) {
  ReturningProgram program(copies_uses);
  program.TakeTurn(milliseconds(0), {0, 1, 2}, {0, 1, 2});
  program.TakeTurn(milliseconds(1000), {0, 1, 2}, {0, 1, 2});
  program.TakeTurn(milliseconds(50000), {1, 2, 0}, {1, 2, 0});
  program.TakeTurn(milliseconds(50000), {0, 2, 1}, {0, 2, 1});
  return program.used();
}

BOOST_AUTO_TEST_CASE(uses_are_not_forgotten_while_a_program_returns) {
  BOOST_TEST(UsedByReturningProgram(false) > kBudget);
  BOOST_TEST(UsedByReturningProgram(true) <= kBudget);
}

RC_BOOST_PROP(programs_that_return_stay_within_their_budget, ()) {
  ReturningProgram program(true);
  const int turns = *rc::gen::inRange(3, 20);
  for (int n = 0; n < turns; ++n) {
    program.TakeTurn(milliseconds(*rc::gen::inRange(0, 80000)), RandomOrder(),
                     RandomOrder());
  }
  RC_ASSERT(program.used() <= kBudget);
}

TokenUse MakeUse(const char* request, std::int64_t tokens, bool settled) {
  return {"program", request, tokens, settled, {}, ""};
}

BOOST_AUTO_TEST_CASE(sequential_turns_need_one_round) {
  TokenQuorum single;
  single.AddAnswer({MakeUse("a", 40, false)});
  single.AddAnswer({MakeUse("a", 40, false)});
  BOOST_TEST(single.IsDecided("a"));

  TokenQuorum sequential;
  sequential.AddAnswer({MakeUse("a", 30, true), MakeUse("b", 40, false)});
  sequential.AddAnswer({MakeUse("a", 30, true), MakeUse("b", 40, false)});
  BOOST_TEST(sequential.IsDecided("b"));
  BOOST_TEST(sequential.ledger().total_without("b") == 30);

  // A refused request used no tokens, so one settled answer is enough.
  TokenQuorum refused;
  refused.AddAnswer({MakeUse("a", 0, true), MakeUse("b", 40, false)});
  refused.AddAnswer({MakeUse("a", 50, false), MakeUse("b", 40, false)});
  BOOST_TEST(refused.IsDecided("b"));
  BOOST_TEST(refused.ledger().total_without("b") == 0);
}

// Merging is commutative and idempotent, so replicas converge even if they
// receive uses late or twice.
RC_BOOST_PROP(merges_in_any_order_give_the_same_total, ()) {
  std::vector<TokenUse> uses;
  const int count = *rc::gen::inRange(1, 20);
  for (int n = 0; n < count; ++n) {
    TokenUse use;
    use.program = "program";
    use.request = std::to_string(*rc::gen::inRange(0, 5));
    use.settled = *rc::gen::arbitrary<bool>();
    use.tokens = *rc::gen::inRange(0, 50);
    uses.push_back(use);
  }
  TokenLedger forward;
  TokenLedger backward;
  for (const auto& it : uses) {
    forward.Merge(it);
  }
  for (auto it = uses.rbegin(); it != uses.rend(); ++it) {
    backward.Merge(*it);
    backward.Merge(*it);
  }
  RC_ASSERT(forward.total() == backward.total());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
