// Replies whose status is none of HTTP, as the client and its users see them.

#include <functional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "backend/engine_client.h"
#include "backend/tool_client.h"
#include "net/http_client.h"
#include "standins/raw_server.h"

namespace comfreyfold {
namespace {

using standins::RawServer;

const char* const kStatuses[] = {"000", "099", "600", "700", "999"};

std::string ReplyOf(const std::string& status) {
  return "HTTP/1.1 " + status +
         " X\r\nNot-Executed: 1\r\nContent-Length: 2\r\n\r\n{}";
}

// Runs `body` beside a server that answers each request with `status`.
void WithServer(
    const std::string& status,
    const std::function<void(Fiber&, Loop&, const RawServer&)>& body) {
  Loop loop;
  RawServer server(loop, [&status](Fiber&, RawServer::Peer& peer) {
    while (!peer.ReadHead().empty()) {
      peer.Write(ReplyOf(status));
    }
  });
  loop.Spawn([&](Fiber& fiber) {
    body(fiber, loop, server);
    loop.Stop();
  });
  loop.Run();
}

BOOST_AUTO_TEST_SUITE(invalid_status)

BOOST_AUTO_TEST_CASE(status_outside_100_to_599_is_no_reply) {
  for (const std::string status : kStatuses) {
    BOOST_TEST_CONTEXT(status) {
      WithServer(status, [&status](Fiber& fiber, Loop& loop,
                                   const RawServer& server) {
        const auto text = "status " + std::to_string(std::stoi(status)) + " ";
        HttpClient http(loop);
        int heads = 0;
        HttpOptions options;
        options.on_head = [&heads](const HttpReply&) {
          ++heads;
          return ReplyAction::kAccept;
        };
        for (int n = 1; n <= 2; ++n) {
          BOOST_CHECK_EXCEPTION(
              http.Send(fiber, server.address(), {"GET", "/", {}, {}}, options),
              HttpFailure, [&text](const HttpFailure& e) {
                return e.sent() &&
                       std::string(e.what()).find(text) != std::string::npos;
              });
          BOOST_TEST(server.connections() == n);
        }
        BOOST_TEST(heads == 0);
      });
    }
  }
}

BOOST_AUTO_TEST_CASE(tool_call_answered_with_invalid_status_may_have_run) {
  for (const std::string status : kStatuses) {
    BOOST_TEST_CONTEXT(status) {
      WithServer(status, [](Fiber& fiber, Loop& loop, const RawServer& server) {
        HttpClient http(loop);
        ToolClient tools(http);
        ToolCall call;
        call.name = "t";
        call.timeout = std::chrono::seconds(5);
        BOOST_CHECK_EXCEPTION(tools.Call(fiber, server.address(), call),
                              BackendFailure, [](const BackendFailure& e) {
                                return e.verdict() == Verdict::kMayHaveRun;
                              });
      });
    }
  }
}

BOOST_AUTO_TEST_CASE(engine_call_answered_with_invalid_status_may_have_run) {
  for (const std::string status : kStatuses) {
    BOOST_TEST_CONTEXT(status) {
      WithServer(status, [](Fiber& fiber, Loop& loop, const RawServer& server) {
        HttpClient http(loop);
        EngineClient engine(http, {});
        EngineCall call;
        call.request_id = "r";
        call.messages = "[]";
        call.idle_timeout = std::chrono::seconds(5);
        call.on_text = [](std::string_view) {};
        BOOST_CHECK_EXCEPTION(engine.Complete(fiber, server.address(), call),
                              BackendFailure, [](const BackendFailure& e) {
                                return e.verdict() == Verdict::kMayHaveRun;
                              });
      });
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold
