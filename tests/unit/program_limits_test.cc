#include "core/program_limits.h"

#include <boost/test/unit_test.hpp>

#include "core/token_bound.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(program_limits)

BOOST_AUTO_TEST_CASE(parts_of_all_lanes_add_up_to_the_limit) {
  for (const int lanes : {1, 7, 12, 60}) {
    for (const int limit : {1, 5, 12, 16, 61, 1000}) {
      for (const auto* customer : {"bandwerk", "lakeshore", "c"}) {
        int sum = 0;
        for (int lane = 0; lane < lanes; ++lane) {
          sum += LaneConcurrency(customer, limit, lane, lanes);
        }
        BOOST_TEST(sum == limit);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(time_limit_counts_from_first_call) {
  Contract contract;
  contract.max_program_time = seconds(10);
  ProgramState program;
  BOOST_TEST(!TimeLimitExceeded(program, contract, seconds(1000)));
  program.started_at = seconds(100);
  BOOST_TEST(!TimeLimitExceeded(program, contract, seconds(110)));
  BOOST_TEST(
      TimeLimitExceeded(program, contract, seconds(110) + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(prompt_bound_starts_from_tokens_counted_by_engine) {
  ProgramState program;
  CallRecord turn;
  turn.kind = CallKind::kModel;
  turn.target = "large";
  turn.done = true;
  turn.verdict = Verdict::kRan;
  turn.request = std::string(4000, 'q');
  turn.answer = std::string(400, 'a');
  turn.tokens = 1100;
  program.calls.push_back(turn);
  const AddedText added{200, 1};
  // The engine counted one token per four bytes; the bound is close to that.
  BOOST_TEST(PromptTokenBound(&program, "large", added) >= 1100 + 200);
  BOOST_TEST(PromptTokenBound(&program, "large", added) < 1600);
  // Another model may tokenize differently, so that every byte may be a token.
  BOOST_TEST(PromptTokenBound(&program, "small", added) >= 4600);
  BOOST_TEST(PromptTokenBound(nullptr, "large", added) >= 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
