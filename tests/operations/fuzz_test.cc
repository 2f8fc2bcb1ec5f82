// Damaged bodies between daemons: each is decoded or refused as WireError,
// and nothing else happens. Seeds are fixed in main.cc.

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "wire/codec.h"

namespace comfreyfold {
namespace {

struct Damage {
  std::size_t place = 0;
  char byte = 0;
};

std::string Damaged(std::string buf, const std::vector<Damage>& damages) {
  for (const auto& it : damages) {
    if (!buf.empty()) {
      buf[it.place % buf.size()] = it.byte;
    }
  }
  return buf;
}

std::vector<Damage> AnyDamages() {
  return *rc::gen::container<std::vector<Damage>>(rc::gen::construct<Damage>(
      rc::gen::arbitrary<std::size_t>(), rc::gen::arbitrary<char>()));
}

// True when `decode` gives a value or says WireError.
template <typename Decode>
bool DecodesOrRefuses(const Decode& decode, const std::string& buf) {
  try {
    decode(buf);
    return true;
  } catch (const WireError&) {
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

ForwardedCall AnyCall() {
  ForwardedCall out;
  out.customer = *rc::gen::arbitrary<std::string>();
  out.program = *rc::gen::arbitrary<std::string>();
  out.key = *rc::gen::arbitrary<std::string>();
  out.body = *rc::gen::arbitrary<std::string>();
  out.call = *rc::gen::arbitrary<std::int64_t>();
  out.clock = *rc::gen::arbitrary<std::int64_t>();
  return out;
}

BOOST_AUTO_TEST_SUITE(fuzz)

RC_BOOST_PROP(a_call_survives_its_codec, ()) {
  const auto call = AnyCall();
  const auto back = DecodeForwardedCall(Encode(call));
  RC_ASSERT(back.customer == call.customer);
  RC_ASSERT(back.program == call.program);
  RC_ASSERT(back.key == call.key);
  RC_ASSERT(back.body == call.body);
  RC_ASSERT(back.call == call.call);
  RC_ASSERT(back.clock == call.clock);
}

RC_BOOST_PROP(a_damaged_call_is_decoded_or_refused, ()) {
  const auto buf = Damaged(Encode(AnyCall()), AnyDamages());
  RC_ASSERT(DecodesOrRefuses(DecodeForwardedCall, buf));
}

RC_BOOST_PROP(a_damaged_block_is_decoded_or_refused, ()) {
  LaneBlock block;
  block.uid = *rc::gen::arbitrary<std::string>();
  block.entries.resize(*rc::gen::inRange<std::size_t>(0, 4));
  const auto buf = Damaged(Encode(block), AnyDamages());
  RC_ASSERT(DecodesOrRefuses(DecodeLaneBlock, buf));
}

RC_BOOST_PROP(a_damaged_heartbeat_is_decoded_or_refused, ()) {
  Heartbeat heartbeat;
  heartbeat.daemon = *rc::gen::arbitrary<std::string>();
  heartbeat.lanes.resize(*rc::gen::inRange<std::size_t>(0, 4));
  const auto buf = Damaged(Encode(heartbeat), AnyDamages());
  RC_ASSERT(DecodesOrRefuses(DecodeHeartbeat, buf));
}

// A newer daemon's value, or damage: it must not become a call that nothing
// handles.
BOOST_AUTO_TEST_CASE(an_unknown_kind_is_refused) {
  constexpr int kUnknown = 99;
  ForwardedCall call;
  call.operation = static_cast<Operation>(kUnknown);
  BOOST_CHECK_THROW(DecodeForwardedCall(Encode(call)), WireError);
  AnswerFrame frame;
  frame.kind = static_cast<FrameKind>(kUnknown);
  BOOST_CHECK_THROW(DecodeAnswerFrame(Encode(frame)), WireError);
  frame.kind = FrameKind::kDone;
  frame.verdict = static_cast<Verdict>(kUnknown);
  BOOST_CHECK_THROW(DecodeAnswerFrame(Encode(frame)), WireError);
  LaneBlock block;
  block.entries.resize(1);
  block.entries[0].kind = static_cast<EntryKind>(kUnknown);
  BOOST_CHECK_THROW(DecodeLaneBlock(Encode(block)), WireError);
}

RC_BOOST_PROP(any_bytes_are_decoded_or_refused, ()) {
  const auto buf = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(DecodesOrRefuses(DecodeForwardedCall, buf));
  RC_ASSERT(DecodesOrRefuses(DecodeAnswerFrame, buf));
  RC_ASSERT(DecodesOrRefuses(DecodeHeartbeat, buf));
  RC_ASSERT(DecodesOrRefuses(DecodeLaneBlock, buf));
}

RC_BOOST_PROP(a_stream_of_any_bytes_is_read_or_refused, ()) {
  const auto buf = *rc::gen::arbitrary<std::string>();
  const auto cut = *rc::gen::inRange<std::size_t>(0, buf.size() + 1);
  RC_ASSERT(DecodesOrRefuses(
      [cut](const std::string& text) {
        FrameReader reader;
        const auto ignore = [](const AnswerFrame&) {};
        reader.Feed(std::string_view(text).substr(0, cut), ignore);
        reader.Feed(std::string_view(text).substr(cut), ignore);
      },
      buf));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
