// Decodes corrupted message bodies. A decoder has to return a value or throw
// WireError, and must not throw anything else or crash. The seed is set in
// main.cc.

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "wire/codec.h"

namespace comfreyfold {
namespace {

// Overwrites one byte of a buffer; the offset is taken modulo its size.
struct ByteOverwrite {
  std::size_t offset = 0;
  char value = 0;
};

std::string Corrupted(std::string buf,
                      const std::vector<ByteOverwrite>& overwrites) {
  for (const auto& it : overwrites) {
    if (!buf.empty()) {
      buf[it.offset % buf.size()] = it.value;
    }
  }
  return buf;
}

std::vector<ByteOverwrite> ArbitraryOverwrites() {
  return *rc::gen::container<std::vector<ByteOverwrite>>(
      rc::gen::construct<ByteOverwrite>(rc::gen::arbitrary<std::size_t>(),
                                        rc::gen::arbitrary<char>()));
}

// Returns whether `decode` returns or throws WireError.
template <typename Decode>
bool DecodesOrThrowsWireError(const Decode& decode, const std::string& buf) {
  try {
    decode(buf);
    return true;
  } catch (const WireError&) {
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

ForwardedCall ArbitraryCall() {
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

RC_BOOST_PROP(a_call_is_unchanged_by_encoding_and_decoding, ()) {
  const auto call = ArbitraryCall();
  const auto decoded = DecodeForwardedCall(Encode(call));
  RC_ASSERT(decoded.customer == call.customer);
  RC_ASSERT(decoded.program == call.program);
  RC_ASSERT(decoded.key == call.key);
  RC_ASSERT(decoded.body == call.body);
  RC_ASSERT(decoded.call == call.call);
  RC_ASSERT(decoded.clock == call.clock);
}

RC_BOOST_PROP(a_corrupted_call_is_decoded_or_rejected, ()) {
  const auto buf = Corrupted(Encode(ArbitraryCall()), ArbitraryOverwrites());
  RC_ASSERT(DecodesOrThrowsWireError(DecodeForwardedCall, buf));
}

RC_BOOST_PROP(a_corrupted_block_is_decoded_or_rejected, ()) {
  LaneBlock block;
  block.uid = *rc::gen::arbitrary<std::string>();
  block.entries.resize(*rc::gen::inRange<std::size_t>(0, 4));
  const auto buf = Corrupted(Encode(block), ArbitraryOverwrites());
  RC_ASSERT(DecodesOrThrowsWireError(DecodeLaneBlock, buf));
}

RC_BOOST_PROP(a_corrupted_heartbeat_is_decoded_or_rejected, ()) {
  MemberMessage message;
  message.sender.daemon = *rc::gen::arbitrary<std::string>();
  message.sender.lanes.resize(*rc::gen::inRange<std::size_t>(0, 4));
  message.news.resize(*rc::gen::inRange<std::size_t>(0, 4));
  message.dead.resize(*rc::gen::inRange<std::size_t>(0, 4));
  const auto buf = Corrupted(Encode(message), ArbitraryOverwrites());
  RC_ASSERT(DecodesOrThrowsWireError(DecodeMemberMessage, buf));
}

// A newer version of the daemon or corruption can put an unknown value in an
// enum field. It has to be rejected, since no code would handle it.
BOOST_AUTO_TEST_CASE(an_unknown_enum_value_is_rejected) {
  constexpr int kUnknownValue = 99;
  ForwardedCall call;
  call.operation = static_cast<Operation>(kUnknownValue);
  BOOST_CHECK_THROW(DecodeForwardedCall(Encode(call)), WireError);
  AnswerFrame frame;
  frame.kind = static_cast<FrameKind>(kUnknownValue);
  BOOST_CHECK_THROW(DecodeAnswerFrame(Encode(frame)), WireError);
  frame.kind = FrameKind::kDone;
  frame.verdict = static_cast<Verdict>(kUnknownValue);
  BOOST_CHECK_THROW(DecodeAnswerFrame(Encode(frame)), WireError);
  LaneBlock block;
  block.entries.resize(1);
  block.entries[0].kind = static_cast<EntryKind>(kUnknownValue);
  BOOST_CHECK_THROW(DecodeLaneBlock(Encode(block)), WireError);
}

RC_BOOST_PROP(arbitrary_bytes_are_decoded_or_rejected, ()) {
  const auto buf = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(DecodesOrThrowsWireError(DecodeForwardedCall, buf));
  RC_ASSERT(DecodesOrThrowsWireError(DecodeAnswerFrame, buf));
  RC_ASSERT(DecodesOrThrowsWireError(DecodeMemberMessage, buf));
  RC_ASSERT(DecodesOrThrowsWireError(DecodeLaneBlock, buf));
}

RC_BOOST_PROP(a_stream_of_arbitrary_bytes_is_read_or_rejected, ()) {
  const auto buf = *rc::gen::arbitrary<std::string>();
  const auto cut = *rc::gen::inRange<std::size_t>(0, buf.size() + 1);
  RC_ASSERT(DecodesOrThrowsWireError(
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
