// Reservations against a program's budget over replicas that miss messages,
// answer in any order and lose one disk, compared with one exact account.

#include <algorithm>
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

constexpr int kLosses = 1;
constexpr int kReplicas = 2 * kLosses + 1;
constexpr std::int64_t kBudget = 100;

// When a reservation is decided without reading a quorum once more.
enum class OneRound {
  kNever,
  kAlways,
  kNothingUnsettled,  // Nothing that was seen was unsettled in all answers.
  kQuorumDecides,     // TokenQuorum says so.
};

// One reservation on its way: it is stored at replicas one after the other,
// then read from them one after the other if need be, between any steps of
// others. What was granted is settled at one replica after the other.
struct Request {
  TokenUse use;
  std::int64_t used = 0;  // What its client gets if it is granted.
  std::vector<int> store_order;
  std::vector<int> read_order;
  std::vector<int> settle_order;
  std::size_t stored = 0;
  std::size_t read = 0;
  std::size_t settled = 0;
  TokenQuorum seen;
  bool reads_again = false;
  bool granted = false;
  bool decided = false;
};

class World {
 public:
  explicit World(OneRound one_round) : one_round_(one_round) {
    for (int n = 0; n < kReplicas; ++n) {
      list_.members.push_back({"disk" + std::to_string(n), "", "", ""});
    }
    quorum_ = list_.ReplicasOf("program", kLosses).front().quorum;
  }

  // One message and its answer.
  void Step(Request& request) {
    if (request.decided) {
      SettleOnce(request);
    } else if (request.stored < quorum_) {
      auto& replica = replicas_[request.store_order[request.stored++]];
      replica.Merge({request.use});
      request.seen.AddAnswer(replica.ForProgram("program"));
      request.reads_again =
          request.stored == quorum_ && !DecidesInOneRound(request);
    } else if (request.reads_again && request.read < quorum_) {
      request.seen.AddAnswer(
          replicas_[request.read_order[request.read++]].ForProgram("program"));
    } else {
      Decide(request);
    }
  }

  // Tokens that clients get.
  std::int64_t used() const { return used_; }
  int in_one_round() const { return in_one_round_; }

 private:
  bool DecidesInOneRound(const Request& request) const {
    switch (one_round_) {
      case OneRound::kNever:
        return false;
      case OneRound::kAlways:
        return true;
      case OneRound::kNothingUnsettled: {
        const auto& uses = request.seen.ledger().uses();
        return std::all_of(uses.begin(), uses.end(), [&](const auto& it) {
          return it.first == request.use.request || it.second.settled;
        });
      }
      case OneRound::kQuorumDecides:
        return request.seen.IsDecided(request.use.request);
    }
    return false;
  }

  void Decide(Request& request) {
    request.decided = true;
    request.granted = request.seen.ledger().total() <= kBudget;
    if (request.granted) {
      used_ += request.used;
      in_one_round_ += request.reads_again ? 0 : 1;
    }
  }

  void SettleOnce(Request& request) {
    if (request.settled == request.settle_order.size()) {
      return;
    }
    auto use = request.use;
    use.tokens = request.granted ? request.used : 0;
    use.settled = true;
    replicas_[request.settle_order[request.settled++]].Merge({use});
  }

  OneRound one_round_;
  StorageList list_;
  std::size_t quorum_ = 0;
  std::map<int, TokenLedgers> replicas_;
  std::int64_t used_ = 0;
  int in_one_round_ = 0;
};

std::vector<int> AnyOrder() {
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

// Of all or of few replicas, and not always all that was reserved is used.
Request AnyRequest(int number) {
  Request out;
  out.use.program = "program";
  out.use.request = "request" + std::to_string(number);
  out.use.tokens = *rc::gen::inRange(10, 60);
  out.used = *rc::gen::arbitrary<bool>() ? out.use.tokens : out.use.tokens / 2;
  out.store_order = AnyOrder();
  out.read_order = AnyOrder();
  out.settle_order = AnyOrder();
  out.settle_order.resize(*rc::gen::element<std::size_t>(0, 1, 2, kReplicas));
  return out;
}

World Play(OneRound one_round) {
  World world(one_round);
  const int count = *rc::gen::inRange(2, 10);
  std::vector<Request> requests;
  requests.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n) {
    requests.push_back(AnyRequest(n));
  }
  // Some go several steps at once, so that others come wholly after them.
  for (int turns = 0; turns < count * 5; ++turns) {
    auto& request = requests[*rc::gen::inRange(0, count)];
    const int steps = *rc::gen::element(1, 1, 2, 4, 8);
    for (int n = 0; n < steps; ++n) {
      world.Step(request);
    }
  }
  return world;
}

BOOST_AUTO_TEST_SUITE(reservations)

RC_BOOST_PROP(granted_tokens_never_pass_the_budget, ()) {
  RC_ASSERT(Play(OneRound::kNever).used() <= kBudget);
}

RC_BOOST_PROP(nor_where_one_round_decides, ()) {
  const auto world = Play(OneRound::kQuorumDecides);
  RC_CLASSIFY(world.in_one_round() > 1, "several decided in one round");
  RC_ASSERT(world.used() <= kBudget);
}

Request RequestOf(const char* name,
                  std::vector<int> store_order,
                  std::vector<int> settle_order) {
  Request out;
  out.use = {"program", name, 40, false, {}, ""};
  out.used = 40;
  out.store_order = std::move(store_order);
  out.read_order = {0, 1, 2};
  out.settle_order = std::move(settle_order);
  return out;
}

// Three reservations of 40 that are used whole, of which each sees one other:
// `first` is stored at replica 0 and comes late to 2; `second`, at 0 and 1,
// sees it; `third` comes to 1 after `second` is settled there, and `first` to 2
// after `third` is settled there.
std::int64_t PlayRing(OneRound one_round) {
  World world(one_round);
  auto first = RequestOf("first", {0, 2}, {});
  auto second = RequestOf("second", {0, 1}, {1});
  auto third = RequestOf("third", {1, 2}, {2});
  world.Step(first);
  for (auto* it : {&second, &third, &first}) {
    for (int n = 0; n < 8; ++n) {
      world.Step(*it);
    }
  }
  return world.used();
}

BOOST_AUTO_TEST_CASE(what_is_settled_must_be_so_at_every_replica) {
  BOOST_TEST(PlayRing(OneRound::kAlways) == 120);
  BOOST_TEST(PlayRing(OneRound::kNothingUnsettled) == 120);
  BOOST_TEST(PlayRing(OneRound::kQuorumDecides) <= kBudget);
  BOOST_TEST(PlayRing(OneRound::kNever) <= kBudget);
}

TokenUse UseOf(const char* request, std::int64_t tokens, bool settled) {
  return {"program", request, tokens, settled, {}, ""};
}

BOOST_AUTO_TEST_CASE(turns_that_follow_each_other_need_one_round) {
  TokenQuorum alone;
  alone.AddAnswer({UseOf("a", 40, false)});
  alone.AddAnswer({UseOf("a", 40, false)});
  BOOST_TEST(alone.IsDecided("a"));

  TokenQuorum next;
  next.AddAnswer({UseOf("a", 30, true), UseOf("b", 40, false)});
  next.AddAnswer({UseOf("a", 30, true), UseOf("b", 40, false)});
  BOOST_TEST(next.IsDecided("b"));
  BOOST_TEST(next.ledger().total_without("b") == 30);

  // What was turned away took no tokens, wherever it is known.
  TokenQuorum refused;
  refused.AddAnswer({UseOf("a", 0, true), UseOf("b", 40, false)});
  refused.AddAnswer({UseOf("a", 50, false), UseOf("b", 40, false)});
  BOOST_TEST(refused.IsDecided("b"));
  BOOST_TEST(refused.ledger().total_without("b") == 0);
}

// Merging is the same in any order and however often, so replicas that hear
// of things late and twice agree in the end.
RC_BOOST_PROP(merges_in_any_order_agree, ()) {
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
