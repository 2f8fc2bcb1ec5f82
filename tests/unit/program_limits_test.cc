#include "core/program_limits.h"

#include <boost/test/unit_test.hpp>

#include "core/token_bound.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(program_limits)

BOOST_AUTO_TEST_CASE(the_lanes_parts_add_up_to_the_limit) {
  for (const int lanes : {1, 7, 12, 60}) {
    for (const int limit : {1, 5, 12, 16, 61, 1000}) {
      for (const auto* customer : {"bandwerk", "lakeshore", "c"}) {
        int sum = 0;
        for (int lane = 0; lane < lanes; ++lane) {
          sum += LaneSlots(customer, limit, lane, lanes);
        }
        BOOST_TEST(sum == limit);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(time_counts_from_the_first_call) {
  Contract contract;
  contract.max_program_time = seconds(10);
  ProgramState program;
  BOOST_TEST(!PassedTime(program, contract, seconds(1000)));
  program.started_at = seconds(100);
  BOOST_TEST(!PassedTime(program, contract, seconds(110)));
  BOOST_TEST(PassedTime(program, contract, seconds(110) + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(the_prompt_bound_starts_from_what_the_engine_counted) {
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
  // A quarter of the bytes is what was counted; the bound is near that.
  BOOST_TEST(PromptTokenBound(&program, "large", added) >= 1100 + 200);
  BOOST_TEST(PromptTokenBound(&program, "large", added) < 1600);
  // Another model may count otherwise: every byte may be a token.
  BOOST_TEST(PromptTokenBound(&program, "small", added) >= 4600);
  BOOST_TEST(PromptTokenBound(nullptr, "large", added) >= 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
