// Answers of the platform's store that are odd, or do not end.

#include <functional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "net/http_client.h"
#include "platform/store_client.h"
#include "standins/raw_server.h"

namespace comfreyfold::platform {
namespace {

using standins::RawServer;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};
// The largest answer that is read, and what the sockets' buffers take.
constexpr std::uint64_t kMaxTakenBytes = 24ULL * 1024 * 1024;

// Runs `body` with a client of a store that handles each connection with
// `serve`.
void WithStore(
    std::function<void(Fiber&, RawServer::Peer&)> serve,
    const std::function<void(Fiber&, StoreClient&, const RawServer&)>& body) {
  Loop loop;
  RawServer server(loop, std::move(serve));
  loop.Spawn([&](Fiber& fiber) {
    HttpClient http(loop);
    StoreClient store(http, server.address(), kTimeout);
    body(fiber, store, server);
    loop.Stop();
  });
  loop.Run();
}

std::string Reply(const std::string& body, const std::string& status = "200") {
  return "HTTP/1.1 " + status +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Page(const std::string& key, bool has_more) {
  return Reply(R"({"items":[{"key":")" + key +
               R"(","value":"","revision":1}],"has_more":)" +
               (has_more ? "true" : "false") + R"(,"store_revision":1})");
}

BOOST_AUTO_TEST_SUITE(store_client)

// The odd key of another writer broke the request for the next page.
BOOST_AUTO_TEST_CASE(odd_key_at_end_of_page_does_not_end_the_reading) {
  std::vector<std::string> lines;
  WithStore(
      [&lines](Fiber&, RawServer::Peer& peer) {
        for (auto head = peer.ReadHead(); !head.empty();
             head = peer.ReadHead()) {
          lines.push_back(head.substr(0, head.find("\r\n")));
          peer.Write(lines.size() == 1
                         ? Page("servers/a b&c=d#%\\r\\n\\u00e9", true)
                         : Page("servers/z", false));
        }
      },
      [](Fiber& fiber, StoreClient& store, const RawServer&) {
        BOOST_TEST(store.Prefix(fiber, "servers/").items.size() == 2U);
      });
  BOOST_REQUIRE(lines.size() == 2U);
  BOOST_TEST(lines[0] == "GET /api/kv-range?prefix=servers/ HTTP/1.1");
  BOOST_TEST(lines[1] ==
             "GET /api/kv-range?prefix=servers/&after="
             "servers/a%20b%26c%3Dd%23%25%0D%0A%C3%A9 HTTP/1.1");
}

// The same page was read again and again, and kept each time.
BOOST_AUTO_TEST_CASE(pages_that_do_not_advance_end_the_reading) {
  constexpr int kPages = 20;
  for (const auto* key : {"servers/a", "other"}) {
    int pages = 0;
    WithStore(
        [&pages, key](Fiber&, RawServer::Peer& peer) {
          while (pages < kPages && !peer.ReadHead().empty()) {
            ++pages;
            peer.Write(Page(key, true));
          }
        },
        [](Fiber& fiber, StoreClient& store, const RawServer&) {
          BOOST_CHECK_THROW(store.Prefix(fiber, "servers/"), KvUnavailable);
        });
    BOOST_TEST(pages <= 2);
  }
}

// Up to 256 MiB were kept, more than a VM's memory.
BOOST_AUTO_TEST_CASE(body_without_end_is_not_kept) {
  WithStore(
      [](Fiber&, RawServer::Peer& peer) {
        peer.ReadHead();
        peer.Write("HTTP/1.1 200 OK\r\n\r\n");
        const std::string piece(16UL * 1024, 'x');
        while (peer.Write(piece)) {
        }
      },
      [](Fiber& fiber, StoreClient& store, const RawServer& server) {
        BOOST_CHECK_THROW(store.Prefix(fiber, "servers/"), KvUnavailable);
        BOOST_TEST(server.written() < kMaxTakenBytes);
      });
}

BOOST_AUTO_TEST_CASE(change_answered_with_invalid_status_may_have_been_made) {
  for (const std::string status : {"000", "099", "600", "700", "999"}) {
    WithStore(
        [&status](Fiber&, RawServer::Peer& peer) {
          while (!peer.ReadHead().empty()) {
            peer.Write(Reply("{}", status));
          }
        },
        [](Fiber& fiber, StoreClient& store, const RawServer& server) {
          const auto may_have_applied = [](const KvUnavailable& e) {
            return e.may_have_applied();
          };
          BOOST_CHECK_EXCEPTION(store.Commit(fiber, {}), KvUnavailable,
                                may_have_applied);
          BOOST_CHECK_EXCEPTION(store.Get(fiber, "k"), KvUnavailable,
                                may_have_applied);
          BOOST_TEST(server.connections() == 2);
        });
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::platform
