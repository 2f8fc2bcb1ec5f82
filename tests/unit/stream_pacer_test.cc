// Tokens of a stream that are joined: none lost or late, the first at once.

#include <boost/test/unit_test.hpp>

#include "backend/engine_client.h"
#include "core/stream_pacer.h"
#include "net/http_server.h"

namespace comfreyfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCoalescing{20};
constexpr milliseconds kPatience{5000};

std::string Event(const std::string& text) {
  return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
}

// An engine that streams what `answer` writes, and what a client saw.
struct World {
  explicit World(
      const std::function<void(World&, Fiber&, HttpExchange&)>& answer)
      : seen(loop),
        server(
            loop,
            [this,
             answer](Fiber& fiber, const HttpRequest&, HttpExchange& exchange) {
              exchange.Begin(200, "text/event-stream");
              answer(*this, fiber, exchange);
              exchange.Write("data: [DONE]\n\n");
              exchange.End();
            }) {}

  // Runs one stream; `pieces` holds what was passed on.
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
      call.idle_timeout = kPatience;
      call.on_text = [this](std::string_view text) {
        pieces.emplace_back(text);
        seen.NotifyAll();
      };
      whole = engine.Complete(fiber, address, call).text;
      loop.Stop();
    });
    loop.Run();
  }

  std::string Joined() const {
    std::string out;
    for (const auto& it : pieces) {
      out += it;
    }
    return out;
  }

  Loop loop;
  Condition seen;
  HttpServer server;
  std::string address = server.Listen("127.0.0.1:0");
  std::vector<std::string> pieces;
  std::string whole;
  std::string error;
};

BOOST_AUTO_TEST_SUITE(stream_pacer)

BOOST_AUTO_TEST_CASE(nothing_pauses_before_the_first_token) {
  const StreamPacer pacer(kCoalescing);
  BOOST_TEST(pacer.Pause(TimePoint{} + std::chrono::hours(1)).count() == 0);
}

BOOST_AUTO_TEST_CASE(pause_is_bounded_by_the_setting_and_the_streams_time) {
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

BOOST_AUTO_TEST_CASE(zero_joins_nothing) {
  StreamPacer pacer(milliseconds(0));
  pacer.OnForwarded(TimePoint{});
  BOOST_TEST(pacer.Pause(TimePoint{} + std::chrono::hours(1)).count() == 0);
}

// The engine goes on only once the caller has the first token.
BOOST_AUTO_TEST_CASE(first_token_waits_for_no_other) {
  World world([](World& it, Fiber& fiber, HttpExchange& exchange) {
    exchange.Write("data: {\"choices\":[{\"delta\":{\"role\":\"a\"}}]}\n\n");
    exchange.Write(Event("first"));
    if (it.seen.WaitUntil(fiber, kPatience,
                          [&it] { return !it.pieces.empty(); })) {
      exchange.Write(Event(" second"));
    }
  });
  world.Run();
  BOOST_TEST(world.error == "");
  BOOST_TEST(world.whole == "first second");
  BOOST_TEST(world.pieces.size() == 2U);
}

// Failed before pieces that one read brought were parsed together: each
// chunk was passed on by itself.
BOOST_AUTO_TEST_CASE(tokens_that_arrive_together_are_one_piece) {
  constexpr int kTokens = 20;
  World world([](World& it, Fiber& fiber, HttpExchange& exchange) {
    exchange.Write(Event("first"));
    it.seen.WaitUntil(fiber, kPatience, [&it] { return !it.pieces.empty(); });
    // Pauses have their full length once the stream has run for a time.
    fiber.Sleep(kCoalescing * 10);
    exchange.Write(Event("second"));
    it.seen.WaitUntil(fiber, kPatience,
                      [&it] { return it.pieces.size() == 2; });
    for (int i = 0; i < kTokens; ++i) {
      exchange.Write(Event(" w" + std::to_string(i)));
    }
  });
  world.Run();
  BOOST_TEST(world.error == "");
  BOOST_TEST(world.Joined() == world.whole);
  BOOST_TEST(world.pieces.size() * 3 <= kTokens);
}

BOOST_AUTO_TEST_CASE(events_cut_anywhere_come_whole) {
  std::string expected;
  World world([&expected](World&, Fiber&, HttpExchange& exchange) {
    std::string all;
    for (int i = 0; i < 300; ++i) {
      const auto word = " w" + std::to_string(i);
      expected += word;
      all += Event(word);
    }
    // Lengths from 1 up, so that cuts fall everywhere in an event.
    std::size_t length = 1;
    for (std::size_t at = 0; at < all.size(); at += length++) {
      exchange.Write(all.substr(at, length));
    }
  });
  world.Run();
  BOOST_TEST(world.error == "");
  BOOST_TEST(world.whole == expected);
  BOOST_TEST(world.Joined() == expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
