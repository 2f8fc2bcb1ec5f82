#include <memory>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "core/hash.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::CallAnswer;
using harness::Caller;
using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::milliseconds;

constexpr char kCustomer[] = "bandwerk";
constexpr int kLateTurns = 12;
constexpr int kLongAnswer = 300;  // Tokens, some 0.6 s of generation.

// The whole answer of the stand-in engine to a program's first turn.
std::string AnswerTo(const std::string& text, int tokens) {
  auto out = "answer-" + std::to_string(Hash64("user:" + text + "\n"));
  for (int i = 1; i < tokens; ++i) {
    out += " w" + std::to_string(i);
  }
  return out;
}

// A turn asked in a coroutine of its own.
class Turn {
 public:
  Turn(Cluster& cluster,
       const std::string& program,
       const std::string& key,
       const std::string& text,
       int daemon,
       int tokens = kLongAnswer)
      : cluster_(cluster) {
    const auto address = cluster.daemon(daemon).address();
    cluster.fiber().loop().Spawn([&cluster, shared = shared_, program, key,
                                  text, address, tokens](Fiber& fiber) {
      try {
        shared->answer =
            Caller(fiber, cluster.http(), harness::kQuoteKey, program)
                .SendTurn(address, key, text, tokens,
                          [&shared](std::string_view) { ++shared->pieces; });
      } catch (const HttpFailure&) {
        shared->answer = {};
      }
      shared->ended = true;
    });
  }

  void WaitForPieces() {
    cluster_.WaitFor("the answer to begin",
                     [this] { return shared_->pieces >= 3 || shared_->ended; });
    BOOST_TEST(!shared_->ended);
  }
  const CallAnswer& Wait() {
    cluster_.WaitFor("the turn to end", [this] { return shared_->ended; });
    return shared_->answer;
  }
  bool ended() const { return shared_->ended; }

 private:
  struct Shared {
    int pieces = 0;
    bool ended = false;
    CallAnswer answer;
  };

  Cluster& cluster_;
  std::shared_ptr<Shared> shared_ = std::make_shared<Shared>();
};

// Runs over the engines that answer.
std::size_t EngineRuns(Cluster& cluster) {
  std::size_t out = 0;
  for (int i = 0; i < cluster.engines(); ++i) {
    const auto audit = cluster.Audit(cluster.engine(i));
    out += audit.is_object() ? audit["runs"].size() : 0;
  }
  return out;
}

void FaultEngines(Cluster& cluster,
                  const std::string& fault,
                  int count,
                  milliseconds delay = {}) {
  for (int i = 0; i < cluster.engines(); ++i) {
    cluster.InjectFault(cluster.engine(i), fault, count, delay);
  }
}

// Asks for the recorded answer through `daemon` until it is there.
CallAnswer Fetch(Cluster& cluster,
                 const std::string& program,
                 const std::string& key,
                 int daemon) {
  Caller caller(cluster.fiber(), cluster.http(), harness::kQuoteKey, program);
  CallAnswer out;
  cluster.WaitFor("the recorded answer", [&] {
    out = caller.GetAnswer(cluster.daemon(daemon).address(), key);
    return out.status == 200;
  });
  return out;
}

BOOST_AUTO_TEST_SUITE(answers)

// What an ordinary client library reads of a completion.
BOOST_AUTO_TEST_CASE(a_completion_has_the_published_form) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    const auto ask = [&](bool stream) {
      const nlohmann::json body{
          {"model", "quote-large"},
          {"stream", stream},
          {"messages", {{{"role", "user"}, {"content", "hello"}}}}};
      return cluster.http()
          .Send(
              fiber, cluster.daemon(0).address(),
              {"POST",
               "/v1/chat/completions",
               {{"Authorization", std::string("Bearer ") + harness::kQuoteKey},
                {"Content-Type", "application/json"}},
               body.dump()})
          .body;
    };
    const auto whole = nlohmann::json::parse(ask(false));
    BOOST_TEST(whole["object"] == "chat.completion");
    BOOST_TEST(whole["created"].is_number_integer());
    BOOST_TEST(whole["choices"][0]["message"]["role"] == "assistant");
    BOOST_TEST(whole["usage"]["total_tokens"].is_number_integer());
    std::istringstream events(ask(true));
    int chunks = 0;
    for (std::string line; std::getline(events, line);) {
      if (line.empty() || line == "data: [DONE]") {
        continue;
      }
      const auto chunk =
          nlohmann::json::parse(line.substr(std::string("data: ").size()));
      const auto& choice = chunk["choices"][0];
      BOOST_TEST(chunk["object"] == "chat.completion.chunk");
      BOOST_TEST(chunk["created"].is_number_integer());
      BOOST_TEST(choice.contains("finish_reason"));
      BOOST_TEST(choice["delta"].contains("role") == (chunks == 0));
      ++chunks;
    }
    BOOST_TEST(chunks > 1);
  });
}

BOOST_AUTO_TEST_CASE(late_answers_that_overtake_each_other_stay_apart) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    FaultEngines(cluster, "late", 2, milliseconds(500));
    std::vector<std::unique_ptr<Turn>> turns;
    turns.reserve(kLateTurns);
    for (int i = 0; i < kLateTurns; ++i) {
      turns.push_back(std::make_unique<Turn>(
          cluster, "late-" + std::to_string(i), "same-key",
          "question " + std::to_string(i), i % cluster.daemons(), 8));
    }
    // The last is not late: it ends while the first still waits.
    cluster.WaitFor("an overtaking answer", [&] {
      std::size_t ended = 0;
      for (const auto& it : turns) {
        ended += it->ended() ? 1 : 0;
      }
      return ended >= 4;
    });
    for (int i = 0; i < kLateTurns; ++i) {
      const auto& answer = turns[static_cast<std::size_t>(i)]->Wait();
      BOOST_TEST(answer.status == 200);
      BOOST_TEST(answer.body == AnswerTo("question " + std::to_string(i), 8));
    }
  });
}

BOOST_AUTO_TEST_CASE(stream_cut_on_the_way_is_resumed_whole) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    FaultEngines(cluster, "cut", 1);
    Turn turn(cluster, "cut", "k", "a tender", 0, 40);
    BOOST_TEST(turn.Wait().status == 200);
    BOOST_TEST(turn.Wait().body == AnswerTo("a tender", 40));
    BOOST_TEST(EngineRuns(cluster) == 1);
  });
}

BOOST_AUTO_TEST_CASE(engine_killed_in_the_stream) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    Turn turn(cluster, "engine-killed", "k", "a tender", 0);
    turn.WaitForPieces();
    const int engine = cluster.Audit(cluster.engine(0))["runs"].empty() ? 1 : 0;
    cluster.engine(engine).Kill();
    turn.Wait();
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, "engine-killed");
    CallAnswer answer;
    cluster.WaitFor("the turn to be answered elsewhere", [&] {
      answer = caller.SendTurn(cluster.daemon(1).address(), "k", "a tender",
                               kLongAnswer);
      return answer.status == 200;
    });
    BOOST_TEST(answer.body == AnswerTo("a tender", kLongAnswer));
    const auto history = caller.GetHistory(cluster.daemon(2).address()).json();
    BOOST_TEST(history["calls"].size() == 1);
  });
}

BOOST_AUTO_TEST_CASE(entry_killed_and_the_answer_fetched_by_its_key) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    const auto program = cluster.SettledProgram(kCustomer, "entry-killed");
    const int owner = cluster.OwnerOf(kCustomer, program);
    const int entry = (owner + 1) % cluster.daemons();
    Turn turn(cluster, program, "k", "a tender", entry);
    turn.WaitForPieces();
    cluster.daemon(entry).Kill();
    BOOST_TEST(turn.Wait().status != 200);
    const auto answer = Fetch(cluster, program, "k", owner);
    BOOST_TEST(answer.body == AnswerTo("a tender", kLongAnswer));
    BOOST_TEST(EngineRuns(cluster) == 1);
  });
}

BOOST_AUTO_TEST_CASE(owner_killed_and_its_successor_goes_on_with_the_stream) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    const auto program = cluster.SettledProgram(kCustomer, "owner-killed");
    const int owner = cluster.OwnerOf(kCustomer, program);
    Turn turn(cluster, program, "k", "a tender",
              (owner + 1) % cluster.daemons());
    turn.WaitForPieces();
    cluster.daemon(owner).Kill();
    BOOST_TEST(turn.Wait().status == 200);
    BOOST_TEST(turn.Wait().body == AnswerTo("a tender", kLongAnswer));
    // Resumed at the engine, not generated a second time.
    BOOST_TEST(EngineRuns(cluster) == 1);
  });
}

BOOST_AUTO_TEST_CASE(same_key_and_text_in_two_programs_never_mix) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    const std::vector<std::pair<std::string, std::string>> programs{
        {harness::kQuoteKey, "twin-a"},
        {harness::kQuoteKey, "twin-b"},
        {harness::kKioskKey, "twin-a"}};
    int n = 0;
    for (const auto& [key, program] : programs) {
      Caller caller(fiber, cluster.http(), key, program);
      const auto address = cluster.daemon(n++ % cluster.daemons()).address();
      BOOST_TEST(caller.SendTurn(address, "k1", "the same").status == 200);
      BOOST_TEST(caller.SendTurn(address, "k2", "of " + key + program).status ==
                 200);
    }
    BOOST_TEST(EngineRuns(cluster) == 6);
    for (const auto& [key, program] : programs) {
      Caller caller(fiber, cluster.http(), key, program);
      const auto history =
          caller.GetHistory(cluster.daemon(0).address()).json();
      BOOST_REQUIRE(history["messages"].size() == 4);
      BOOST_TEST(history["messages"][0]["content"] == "the same");
      BOOST_TEST(history["messages"][2]["content"] == "of " + key + program);
      BOOST_TEST(history["calls"].size() == 2);
    }
  });
}

BOOST_AUTO_TEST_CASE(answer_larger_than_one_frame) {
  ClusterOptions options;
  options.engine_arguments = {"--decode-us", "0"};
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    constexpr int kTokens = 12000;
    cluster.Apply(
        {harness::QuoteContract() + "[program]\ncall_tokens = 100000\n"});
    const int owner = cluster.OwnerOf(kCustomer, "large");
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, "large");
    const auto answer = caller.SendTurn(
        cluster.daemon((owner + 1) % 3).address(), "k", "a tender", kTokens);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST((answer.body == AnswerTo("a tender", kTokens)));
    const auto again =
        caller.GetAnswer(cluster.daemon((owner + 2) % 3).address(), "k");
    BOOST_TEST((again.body == answer.body));
  });
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_in_the_stream_finds_its_answer) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    const auto program = cluster.SettledProgram(kCustomer, "leaves");
    const int owner = cluster.OwnerOf(kCustomer, program);
    const int entry = (owner + 1) % cluster.daemons();
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, program);
    int pieces = 0;
    struct Left {};
    BOOST_CHECK_THROW(caller.SendTurn(cluster.daemon(entry).address(), "k",
                                      "a tender", kLongAnswer,
                                      [&pieces](std::string_view) {
                                        if (++pieces == 3) {
                                          throw Left();
                                        }
                                      }),
                      Left);
    const auto answer = Fetch(cluster, program, "k", entry);
    BOOST_TEST(answer.body == AnswerTo("a tender", kLongAnswer));
    BOOST_TEST(EngineRuns(cluster) == 1);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
