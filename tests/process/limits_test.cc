#include <boost/test/unit_test.hpp>

#include "process/chat.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;

constexpr char kBigBudget[] = "tokens = 1000000\nperiod = 24h";

BOOST_AUTO_TEST_SUITE(limits)

BOOST_AUTO_TEST_CASE(a_runaway_program_is_ended_and_its_holds_are_freed) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({ContractWith(kBigBudget, "turns = 3")});
    for (int i = 0; i < 3; ++i) {
      const auto key = "turn-" + std::to_string(i);
      BOOST_TEST(Chat(fiber, cluster, i, {"runaway", key}).status == 200);
    }
    BOOST_TEST(cluster.HeldPrograms() == 1U);
    const auto passed = Chat(fiber, cluster, 0, {"runaway", "turn-3"});
    BOOST_TEST(passed.status == 429);
    BOOST_TEST(passed.code == "turn_limit");
    BOOST_TEST(passed.verdict == "not_run");
    const auto after = Chat(fiber, cluster, 1, {"runaway", "turn-4"});
    BOOST_TEST(after.status == 410);
    BOOST_TEST(after.message.find("turn_limit") != std::string::npos);
    cluster.WaitFor("its engine memory to be freed",
                    [&] { return cluster.HeldPrograms() == 0; });
    // An answer on record stays to be had.
    BOOST_TEST(Chat(fiber, cluster, 2, {"runaway", "turn-1"}).status == 200);
  });
}

BOOST_AUTO_TEST_CASE(a_program_past_its_time_is_ended_without_a_call) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({ContractWith(kBigBudget, "time = 2s")});
    BOOST_TEST(Chat(fiber, cluster, 0, {"slow", "k-1"}).status == 200);
    BOOST_TEST(cluster.HeldPrograms() == 1U);
    cluster.WaitFor("its engine memory to be freed",
                    [&] { return cluster.HeldPrograms() == 0; });
    const auto late = Chat(fiber, cluster, 1, {"slow", "k-2"});
    BOOST_TEST(late.status == 410);
    BOOST_TEST(late.message.find("time_limit") != std::string::npos);
  });
}

BOOST_AUTO_TEST_CASE(a_program_past_its_tokens_is_ended) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({ContractWith(kBigBudget, "tokens = 60")});
    ChatReply reply;
    int calls = 0;
    cluster.WaitFor("the limit", [&] {
      const auto key = "k-" + std::to_string(++calls);
      reply = Chat(fiber, cluster, calls % 3, {"greedy", key});
      return reply.status != 200;
    });
    BOOST_TEST(reply.code == "token_limit");
    BOOST_TEST(calls > 1);
    BOOST_TEST(Chat(fiber, cluster, 0, {"greedy", "more"}).status == 410);
  });
}

BOOST_AUTO_TEST_CASE(subagents_are_counted_over_daemons_and_a_takeover) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({ContractWith(kBigBudget, "subagents = 2")});
    const auto child = [](const std::string& name, const std::string& key) {
      ChatTurn turn{name, key};
      turn.parent = "parent";
      return turn;
    };
    BOOST_TEST(Chat(fiber, cluster, 0, {"parent", "k"}).status == 200);
    BOOST_TEST(Chat(fiber, cluster, 0, child("child-1", "k")).status == 200);
    BOOST_TEST(Chat(fiber, cluster, 1, child("child-2", "k")).status == 200);
    const int owner = cluster.OwnerOf("bandwerk", "parent");
    BOOST_REQUIRE(owner >= 0);
    cluster.daemon(owner).Kill();
    const int entry = (owner + 1) % 3;
    const auto third = Chat(fiber, cluster, entry, child("child-3", "k"));
    BOOST_TEST(third.code == "subagent_limit");
    BOOST_TEST(third.verdict == "not_run");
    // The ones that were counted go on.
    BOOST_TEST(Chat(fiber, cluster, entry, child("child-2", "k2")).status ==
               200);
  });
}

BOOST_AUTO_TEST_CASE(only_the_models_of_the_contract) {
  harness::ClusterOptions options;
  options.models = {"quote-large", "quote-small"};
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    cluster.Apply({ContractWith(kBigBudget, "models = quote-small")});
    const auto refused = Chat(fiber, cluster, 0, {"p", "k-1"});
    BOOST_TEST(refused.status == 403);
    BOOST_TEST(refused.code == "model_not_allowed");
    ChatTurn allowed{"p", "k-2"};
    allowed.model = "quote-small";
    BOOST_TEST(Chat(fiber, cluster, 0, allowed).status == 200);
  });
}

// Entered through three daemons, which own the lanes between them.
BOOST_AUTO_TEST_CASE(concurrency_is_never_passed_over_the_daemons) {
  constexpr int kConcurrency = Cluster::kLanes;
  constexpr int kPrograms = 4 * kConcurrency;
  harness::ClusterOptions options;
  options.engines = 1;  // Whose most is that of all.
  options.engine_arguments = {"--decode-us", "20000", "--slots",
                              std::to_string(kPrograms)};
  InCluster(options, [&](Fiber& fiber, Cluster& cluster) {
    auto contract = ContractWith(kBigBudget, "turns = 10");
    const std::string limit = "concurrency = ";
    contract.replace(contract.find(limit), std::string::npos,
                     limit + std::to_string(kConcurrency) + "\n");
    cluster.Apply({contract});
    int answered = 0;
    int ended = 0;
    for (int i = 0; i < kPrograms; ++i) {
      fiber.loop().Spawn([&, i](Fiber& child) {
        const auto reply = Chat(child, cluster, i % cluster.daemons(),
                                {"parallel-" + std::to_string(i), "turn"});
        answered += reply.status == 200 ? 1 : 0;
        ++ended;
      });
    }
    cluster.WaitFor("every turn to end", [&] { return ended == kPrograms; });
    BOOST_TEST(answered == kPrograms);
    const auto audit = cluster.Audit(cluster.engine(0));
    const auto most = audit["most_running"].get<int>();
    BOOST_TEST_MESSAGE("at most " << most << " turns at a time");
    BOOST_TEST(most <= kConcurrency);
    // The limit is what held them, not a lack of work.
    BOOST_TEST(most >= kConcurrency / 2);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
