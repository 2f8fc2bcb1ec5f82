// Coalescing of tokens in a stream: no token is lost, and the first one is
// forwarded at once.

#include <boost/test/unit_test.hpp>

#include "backend/engine_client.h"
#include "core/stream_pacer.h"
#include "net/http_server.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCoalescing{20};
constexpr milliseconds kTimeout{5000};

std::string Event(const std::string& text) {
  return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
}

// A server that streams what `answer` writes, and what its client received.
struct StreamFixture {
  explicit StreamFixture(
      const std::function<void(StreamFixture&, Fiber&, HttpExchange&)>& answer)
      : received(loop),
        server(
            loop,
            [this,
             answer](Fiber& fiber, const HttpRequest&, HttpExchange& exchange) {
              exchange.Begin(200, "text/event-stream");
              answer(*this, fiber, exchange);
              exchange.Write("data: [DONE]\n\n");
              exchange.End();
            }) {}

  // Runs one stream and collects the forwarded text in `pieces`.
  void Run() {
    loop.OnError([this](const char* what) {
      error = what;
      loop.Stop();
    });
    loop.Spawn([this](Fiber& fiber) {
      HttpClient http(loop);
      EngineClient engine(http, kCoalescing);
      EngineCall call;
      call.messages = "[]";
      call.idle_timeout = kTimeout;
      call.on_text = [this](std::string_view text) {
        pieces.emplace_back(text);
        received.NotifyAll();
      };
      full_text = engine.Complete(fiber, address, call).text;
      loop.Stop();
    });
    loop.Run();
  }

  std::string JoinedPieces() const {
    std::string out;
    for (const auto& it : pieces) {
      out += it;
    }
    return out;
  }

  Loop loop;
  Condition received;
  HttpServer server;
  std::string address = server.Listen("127.0.0.1:0");
  std::vector<std::string> pieces;
  std::string full_text;
  std::string error;
};

BOOST_AUTO_TEST_SUITE(stream_pacer)

BOOST_AUTO_TEST_CASE(no_pause_before_the_first_token) {
  const StreamPacer pacer(kCoalescing);
  BOOST_TEST(pacer.Pause(TimePoint{} + std::chrono::hours(1)).count() == 0);
}

BOOST_AUTO_TEST_CASE(pause_is_limited_by_setting_and_stream_duration) {
  StreamPacer pacer(kCoalescing);
  const TimePoint start{};
  pacer.OnForwarded(start);
  for (milliseconds run{0}; run < std::chrono::seconds(1); ++run) {
    pacer.OnForwarded(start + run);
    const auto pause = pacer.Pause(start + run);
    BOOST_TEST(pause.count() <= kCoalescing.count());
    BOOST_TEST(pause.count() * 8 <= run.count());
  }
  BOOST_TEST(pacer.Pause(start + std::chrono::seconds(1)).count() ==
             kCoalescing.count());
}

BOOST_AUTO_TEST_CASE(zero_disables_coalescing) {
  StreamPacer pacer(milliseconds(0));
  pacer.OnForwarded(TimePoint{});
  BOOST_TEST(pacer.Pause(TimePoint{} + std::chrono::hours(1)).count() == 0);
}

// The engine sends its second token only after the client has the first one.
BOOST_AUTO_TEST_CASE(first_token_is_forwarded_at_once) {
  StreamFixture fixture([](StreamFixture& it, Fiber& fiber,
                           HttpExchange& exchange) {
    exchange.Write("data: {\"choices\":[{\"delta\":{\"role\":\"a\"}}]}\n\n");
    exchange.Write(Event("first"));
    if (it.received.WaitUntil(fiber, kTimeout,
                              [&it] { return !it.pieces.empty(); })) {
      exchange.Write(Event(" second"));
    }
  });
  fixture.Run();
  BOOST_TEST(fixture.error == "");
  BOOST_TEST(fixture.full_text == "first second");
  BOOST_TEST(fixture.pieces.size() == 2U);
}

// Guards against forwarding each chunk separately when one read returns several
// of them.
BOOST_AUTO_TEST_CASE(tokens_that_arrive_together_are_forwarded_together) {
  constexpr int kTokens = 20;
  StreamFixture fixture(
      [](StreamFixture& it, Fiber& fiber, HttpExchange& exchange) {
        exchange.Write(Event("first"));
        it.received.WaitUntil(fiber, kTimeout,
                              [&it] { return !it.pieces.empty(); });
        // Pauses reach their full length once the stream has run for a while.
        fiber.Sleep(kCoalescing * 10);
        exchange.Write(Event("second"));
        it.received.WaitUntil(fiber, kTimeout,
                              [&it] { return it.pieces.size() == 2; });
        for (int i = 0; i < kTokens; ++i) {
          exchange.Write(Event(" w" + std::to_string(i)));
        }
      });
  fixture.Run();
  BOOST_TEST(fixture.error == "");
  BOOST_TEST(fixture.JoinedPieces() == fixture.full_text);
  BOOST_TEST(fixture.pieces.size() * 3 <= kTokens);
}

BOOST_AUTO_TEST_CASE(events_split_at_any_byte_arrive_complete) {
  std::string expected;
  StreamFixture fixture(
      [&expected](StreamFixture&, Fiber&, HttpExchange& exchange) {
        std::string all;
        for (int i = 0; i < 300; ++i) {
          const auto word = " w" + std::to_string(i);
          expected += word;
          all += Event(word);
        }
        // Increasing lengths split the events at every position.
        std::size_t length = 1;
        for (std::size_t at = 0; at < all.size(); at += length++) {
          exchange.Write(all.substr(at, length));
        }
      });
  fixture.Run();
  BOOST_TEST(fixture.error == "");
  BOOST_TEST(fixture.full_text == expected);
  BOOST_TEST(fixture.JoinedPieces() == expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
