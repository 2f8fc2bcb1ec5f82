#include <algorithm>
#include <csignal>

#include <boost/test/unit_test.hpp>

#include "clients/budget_codec.h"
#include "clients/kv_client.h"
#include "process/chat.h"
#include "process/in_cluster.h"
#include "server/peer_protocol.h"
#include "wire/codec.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCustomer[] = "bandwerk";
constexpr char kAnyProgram[] = "turns = 100000\ntokens = 100000000";

std::string Budget(std::int64_t tokens, const std::string& period = "24h") {
  return ContractWith(
      "tokens = " + std::to_string(tokens) + "\nperiod = " + period,
      kAnyProgram);
}

// Programs of one call each, sent through every daemon in turn until one is
// refused because the budget is spent.
class Spenders {
 public:
  Spenders(Cluster& cluster, int count) : cluster_(cluster) {
    for (int i = 0; i < count; ++i) {
      cluster.fiber().loop().Spawn([this, i](Fiber& fiber) { Run(fiber, i); });
      ++running_;
    }
  }

  int answered() const { return answered_; }
  bool done() const { return running_ == 0; }
  const std::string& odd() const { return odd_; }

 private:
  void Run(Fiber& fiber, int worker) {
    for (int n = 0;; ++n) {
      const auto name = std::to_string(worker) + "-" + std::to_string(n);
      const auto reply =
          Chat(fiber, cluster_, (worker + n) % 3, {"p-" + name, "k-" + name});
      if (reply.code == "budget_spent") {
        Check(reply);
        break;
      }
      answered_ += reply.status == 200 ? 1 : 0;
      if (reply.status == 0) {
        fiber.Sleep(milliseconds(20));
      }
    }
    --running_;
  }

  void Check(const ChatReply& reply) {
    if (reply.status != 429 || reply.verdict != "not_run" ||
        reply.retry_after < 1) {
      odd_ = reply.code + " " + reply.verdict;
    }
  }

  Cluster& cluster_;
  int running_ = 0;
  int answered_ = 0;
  std::string odd_;
};

// Spends on with single calls until the budget is used to a twentieth.
void SpendToATwentieth(Fiber& fiber, Cluster& cluster, std::int64_t budget) {
  int n = 0;
  cluster.WaitFor("the budget to be usable to a twentieth", [&] {
    const auto name = "rest-" + std::to_string(++n);
    Chat(fiber, cluster, n % 3, {name, name});
    return TokensAtEngines(cluster, kCustomer) > budget - budget / 20;
  });
}

std::int64_t BudgetWrites(Cluster& cluster) {
  std::int64_t out = 0;
  for (int i = 0; i < cluster.daemons(); ++i) {
    const auto reply = cluster.http().Send(
        cluster.fiber(), cluster.daemon(i).address(), {"GET", "/metrics"});
    const auto at = reply.body.find("\ncomfreyfold_budget_writes ");
    out += std::stoll(reply.body.substr(reply.body.find(' ', at + 1)));
  }
  return out;
}

BOOST_AUTO_TEST_SUITE(budget)

BOOST_AUTO_TEST_CASE(never_exceeded_over_daemons_with_a_kill) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr std::int64_t kTokens = 20000;
    cluster.Apply({Budget(kTokens)});
    Spenders spenders(cluster, 9);
    cluster.WaitFor("half of it to be spent", [&] {
      return TokensAtEngines(cluster, kCustomer) > kTokens / 2;
    });
    cluster.daemon(1).Kill();
    cluster.StartDaemon(1);
    cluster.WaitFor("the spenders to be refused",
                    [&] { return spenders.done(); });
    BOOST_TEST(spenders.odd() == "");
    BOOST_TEST(TokensAtEngines(cluster, kCustomer) <= kTokens);
    SpendToATwentieth(fiber, cluster, kTokens);
    const auto used = TokensAtEngines(cluster, kCustomer);
    BOOST_TEST(used <= kTokens);
    BOOST_TEST(used > kTokens - kTokens / 20);
    BOOST_TEST_MESSAGE("budget " << kTokens << ", used after a kill " << used
                                 << ", calls " << spenders.answered());
  });
}

// Grants in the record now.
std::size_t GrantsHeld(Cluster& cluster) {
  KvClient kv(cluster.http(), cluster.kv().address(), seconds(2));
  const auto item = kv.Get(cluster.fiber(), "budgets/bandwerk");
  return item ? DecodeBudget(item->value).grants.size() : 0;
}

// Does what a daemon that is short of the budget does.
void AskForUnusedGrants(Cluster& cluster) {
  const auto body = Encode(GrantQuestion{{{kCustomer, {}}}});
  for (int i = 0; i < cluster.daemons(); ++i) {
    cluster.http().Send(cluster.fiber(), cluster.daemon(i).address(),
                        {"POST", kGiveBackPath, {}, body});
  }
}

BOOST_AUTO_TEST_CASE(many_deaths_leave_the_budget_usable) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr std::int64_t kTokens = 20000;
    constexpr int kDeaths = 4;
    cluster.Apply({Budget(kTokens)});
    for (int death = 0; death < kDeaths; ++death) {
      for (int i = 0; i < 12; ++i) {
        const auto name = std::to_string(death) + "-" + std::to_string(i);
        Chat(fiber, cluster, i % 3, {name, name});
      }
      const int victim = death % 3;
      cluster.daemon(victim).Kill();
      cluster.StartDaemon(victim);
      cluster.WaitReady();
    }
    // Idle grants go back by their holders, dead ones by the journals.
    cluster.WaitFor("every grant to be given back", [&] {
      AskForUnusedGrants(cluster);
      return GrantsHeld(cluster) == 0;
    });
    KvClient kv(cluster.http(), cluster.kv().address(), seconds(2));
    const auto record = DecodeBudget(kv.Get(fiber, "budgets/bandwerk")->value);
    const auto used = TokensAtEngines(cluster, kCustomer);
    BOOST_TEST(used > 0);
    BOOST_TEST(record.spent >= used);
    BOOST_TEST(record.spent - used < kTokens / 20);
    // The lanes whose owners were asked can still be taken over.
    cluster.daemon(0).Kill();
    for (int i = 0; i < Cluster::kLanes; ++i) {
      const auto name = "after-" + std::to_string(i);
      BOOST_TEST(Chat(fiber, cluster, 1 + i % 2, {name, name}).status == 200);
    }
    BOOST_TEST_MESSAGE(kDeaths << " deaths: used " << used << ", counted "
                               << record.spent << " of " << kTokens);
  });
}

// A program pauses for longer than a scarce grant would be kept; the grant must
// be there when the service is not.
BOOST_AUTO_TEST_CASE(an_idle_grant_is_kept_while_the_budget_is_plentiful) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr seconds kPause{7};
    const auto grants = [&] { return GrantsHeld(cluster); };
    Chat(fiber, cluster, 0, {"pauses", "turn-1"});
    BOOST_TEST(grants() == 1U);
    fiber.Sleep(kPause);
    BOOST_TEST(grants() == 1U);
    cluster.WaitFor("the grant to be given back when asked for", [&] {
      AskForUnusedGrants(cluster);
      return grants() == 0;
    });
  });
}

BOOST_AUTO_TEST_CASE(a_paused_holder_uses_no_grant_that_was_given_back) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr std::int64_t kTokens = 3000;
    cluster.Apply({Budget(kTokens)});
    for (int i = 0; i < 12; ++i) {
      const auto name = "early-" + std::to_string(i);
      BOOST_TEST(Chat(fiber, cluster, i % 3, {name, name}).status == 200);
    }
    cluster.daemon(1).Signal(SIGSTOP);
    cluster.WaitFor("the others to give its grant back", [&] {
      KvClient kv(cluster.http(), cluster.kv().address(), seconds(2));
      const auto item = kv.Get(fiber, "budgets/bandwerk");
      const auto record = DecodeBudget(item->value);
      return std::none_of(
          record.grants.begin(), record.grants.end(),
          [](const BudgetGrant& it) { return it.daemon == "d1"; });
    });
    cluster.daemon(1).Signal(SIGCONT);
    Spenders spenders(cluster, 6);
    cluster.WaitFor("the spenders to be refused",
                    [&] { return spenders.done(); });
    BOOST_TEST(TokensAtEngines(cluster, kCustomer) <= kTokens);
  });
}

BOOST_AUTO_TEST_CASE(a_lowered_contract_binds_with_grants_outstanding) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({Budget(1000000)});
    for (int i = 0; i < 30; ++i) {
      const auto name = "early-" + std::to_string(i);
      BOOST_TEST(Chat(fiber, cluster, i % 3, {name, name}).status == 200);
    }
    const auto lowered = TokensAtEngines(cluster, kCustomer) + 400;
    cluster.Apply({Budget(lowered)});
    // Refused until the other daemons have given back what they held.
    int n = 0;
    cluster.WaitFor("the grants to fit the lowered budget", [&] {
      const auto name = "late-" + std::to_string(++n);
      return Chat(fiber, cluster, n % 3, {name, name}).status == 200;
    });
    Spenders spenders(cluster, 6);
    cluster.WaitFor("the spenders to be refused",
                    [&] { return spenders.done(); });
    BOOST_TEST(TokensAtEngines(cluster, kCustomer) <= lowered);
  });
}

BOOST_AUTO_TEST_CASE(a_lost_answer_to_a_grant_is_no_second_grant) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr std::int64_t kTokens = 3000;
    cluster.Apply({Budget(kTokens)});
    cluster.InjectFault(cluster.kv(), "late budgets/bandwerk", 3, seconds(2));
    for (int i = 0; i < 6; ++i) {
      const auto name = "lost-" + std::to_string(i);
      const auto reply = Chat(fiber, cluster, i % 3, {name, name});
      const bool clear = reply.status == 200 || reply.verdict == "not_run";
      BOOST_TEST(clear);
    }
    Spenders spenders(cluster, 6);
    cluster.WaitFor("the spenders to be refused",
                    [&] { return spenders.done(); });
    BOOST_TEST(TokensAtEngines(cluster, kCustomer) <= kTokens);
    SpendToATwentieth(fiber, cluster, kTokens);
    BOOST_TEST(TokensAtEngines(cluster, kCustomer) <= kTokens);
  });
}

BOOST_AUTO_TEST_CASE(a_new_period_brings_a_new_budget) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr std::int64_t kTokens = 600;
    constexpr int kPeriod = 4;
    const auto start = std::chrono::system_clock::now();
    cluster.Apply({Budget(kTokens, std::to_string(kPeriod) + "s")});
    ChatReply refused;
    int n = 0;
    cluster.WaitFor("the first budget to be spent", [&] {
      const auto name = "first-" + std::to_string(++n);
      refused = Chat(fiber, cluster, n % 3, {name, name});
      return refused.code == "budget_spent";
    });
    BOOST_TEST(refused.retry_after <= kPeriod);
    cluster.WaitFor("the next period", [&] {
      const auto name = "next-" + std::to_string(++n);
      return Chat(fiber, cluster, n % 3, {name, name}).status == 200;
    });
    const auto elapsed = std::chrono::duration_cast<seconds>(
        std::chrono::system_clock::now() - start);
    // Periods begun so far, the one at the start and at the end included.
    const auto periods = elapsed.count() / kPeriod + 2;
    BOOST_TEST(TokensAtEngines(cluster, kCustomer) <= kTokens * periods);
  });
}

BOOST_AUTO_TEST_CASE(few_writes_for_many_calls) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    constexpr int kWorkers = 9;
    constexpr int kCalls = 990;
    const auto before = BudgetWrites(cluster);
    int done = 0;
    int bad = 0;
    for (int worker = 0; worker < kWorkers; ++worker) {
      fiber.loop().Spawn([&, worker](Fiber& child) {
        for (int n = 0; n < kCalls / kWorkers; ++n) {
          const auto name = std::to_string(worker) + "-" + std::to_string(n);
          const auto reply = Chat(child, cluster, n % 3, {name, name});
          bad += reply.status == 200 ? 0 : 1;
          ++done;
        }
      });
    }
    cluster.WaitFor("the calls to end", [&] { return done == kCalls; });
    const auto writes = BudgetWrites(cluster) - before;
    BOOST_TEST(bad == 0);
    BOOST_TEST(writes * 20 <= kCalls);
    BOOST_TEST_MESSAGE("budget record writes for " << kCalls << " calls over 3 "
                                                   << "daemons: " << writes);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
