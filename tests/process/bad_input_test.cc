// What callers and strangers may send: each bad input gets one clear error,
// nothing is lost and no process ends.

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <random>

#include <boost/test/unit_test.hpp>

#include "harness/raw_connection.h"
#include "process/bad_requests.h"
#include "process/in_cluster.h"
#include "wire/codec.h"

namespace comfreyfold::process {
namespace {

using harness::Caller;
using harness::Cluster;
using harness::ClusterOptions;
using harness::RawConnection;
using harness::StatusOf;
using nlohmann::json;

constexpr int kConnections = 40;
constexpr char kSecret[] = "a-secret-of-the-whole-fleet";

ClusterOptions Options() {
  ClusterOptions out;
  out.settings["http"] = "body_bytes = " + std::to_string(kBodyBytes) +
                         "\nheader_bytes = " + std::to_string(kHeaderBytes) +
                         "\nconnections = " + std::to_string(kConnections) +
                         "\nrequest_time = 500ms\n";
  return out;
}

// Shares a secret among the daemons, which callers lack.
class SecretFile {
 public:
  explicit SecretFile(const std::string& text)
      : name_("/tmp/comfreyfold-XXXXXX") {
    ::close(::mkstemp(name_.data()));
    std::ofstream(name_) << text << "\n";
  }
  ~SecretFile() { ::unlink(name_.c_str()); }
  SecretFile(const SecretFile&) = delete;
  SecretFile& operator=(const SecretFile&) = delete;
  const std::string& name() const { return name_; }

 private:
  std::string name_;
};

HttpReply Send(Fiber& fiber,
               HttpClient& http,
               const std::string& address,
               const BadRequest& bad) {
  HttpRequest request{bad.method, bad.path, bad.headers, bad.body};
  const auto add = [&request](const char* name, const std::string& value) {
    if (request.Header(name).empty()) {
      request.headers.push_back({name, value});
    }
  };
  add("Authorization", std::string("Bearer ") + harness::kQuoteKey);
  add("Comfreyfold-Program", "bad-input");
  return http.Send(fiber, address, request);
}

// The daemon answers a good call, so nothing before it did harm.
void CheckServes(Fiber& fiber, Cluster& cluster, const std::string& program) {
  Caller caller(fiber, cluster.http(), harness::kQuoteKey, program);
  for (int i = 0; i < cluster.daemons(); ++i) {
    const auto answer = caller.CallTool(cluster.daemon(i).address(),
                                        "good-" + std::to_string(i),
                                        "stock_lookup", {{"item", "steel-19"}});
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(cluster.daemon(i).Wait(std::chrono::milliseconds(0)) == -1);
  }
}

std::string Head(const std::string& path,
                 const std::string& program,
                 std::size_t length,
                 const std::string& more = {}) {
  return "POST " + path + " HTTP/1.1\r\nHost: d\r\nAuthorization: Bearer " +
         harness::kQuoteKey + "\r\nComfreyfold-Program: " + program +
         "\r\nContent-Length: " + std::to_string(length) + "\r\n" + more +
         "\r\n";
}

BOOST_AUTO_TEST_SUITE(bad_input)

BOOST_AUTO_TEST_CASE(each_gets_its_code_and_verdict_and_runs_nothing) {
  const SecretFile secret(kSecret);
  auto options = Options();
  options.settings["daemon"] = "peer_secret_file = " + secret.name() + "\n";
  InCluster(options, [](Fiber& fiber, Cluster& cluster) {
    for (const auto& bad : BadRequests()) {
      BOOST_TEST_CONTEXT(bad.what) {
        const auto reply =
            Send(fiber, cluster.http(), cluster.daemon(0).address(), bad);
        BOOST_TEST(reply.status == bad.status);
        const auto body = json::parse(reply.body, nullptr, false);
        BOOST_REQUIRE(body.is_object());
        BOOST_TEST(body["error"]["code"] == bad.code);
        BOOST_TEST(body["error"]["verdict"] == "not_run");
        BOOST_TEST(reply.Header("Comfreyfold-Verdict") == "not_run");
        BOOST_TEST(!body["error"]["message"].get<std::string>().empty());
      }
    }
    BOOST_TEST(cluster.ToolRuns("stock_lookup").empty());
    CheckServes(fiber, cluster, "after-bad-requests");
  });
}

BOOST_AUTO_TEST_CASE(damaged_bodies_never_end_in_an_internal_error) {
  constexpr int kBodies = 400;
  constexpr std::uint32_t kSeed = 20261204;
  InCluster(Options(), [](Fiber& fiber, Cluster& cluster) {
    std::mt19937 random(kSeed);
    ForwardedCall call;
    call.customer = "bandwerk";
    call.program = "damaged";
    call.key = "k";
    call.target = "stock_lookup";
    call.body = "{}";
    call.deadline = std::chrono::seconds(1);
    const BadRequest starts[] = {
        {"chat", "POST", kChat, {}, kGoodChat, 0, ""},
        {"tool", "POST", "/v1/tools/stock_lookup", {}, R"({"n":[1]})", 0, ""},
        {"peer", "POST", "/peer/call", {}, Encode(call), 0, ""}};
    for (int i = 0; i < kBodies; ++i) {
      auto bad = starts[random() % std::size(starts)];
      for (auto n = 1 + random() % 4; n > 0; --n) {
        bad.body[random() % bad.body.size()] = static_cast<char>(random());
      }
      bad.headers = {{"Comfreyfold-Program", "damaged-" + std::to_string(i)}};
      const auto reply =
          Send(fiber, cluster.http(), cluster.daemon(0).address(), bad);
      BOOST_TEST_CONTEXT("body " << i << " of " << bad.what) {
        BOOST_TEST(reply.status != 500);
        BOOST_TEST(reply.status >= 200);
      }
    }
    CheckServes(fiber, cluster, "after-damage");
  });
}

BOOST_AUTO_TEST_CASE(a_key_with_another_body_is_refused) {
  InCluster(Options(), [](Fiber& fiber, Cluster& cluster) {
    Caller caller(fiber, cluster.http(), harness::kQuoteKey, "reused");
    const auto first = cluster.daemon(0).address();
    const auto second = cluster.daemon(1).address();
    BOOST_TEST(caller.CallTool(first, "k", "book_order", {{"n", 1}}).status ==
               200);
    const auto again = caller.CallTool(second, "k", "book_order", {{"n", 2}});
    BOOST_TEST(again.status == 422);
    BOOST_TEST(again.verdict == "not_run");
    BOOST_TEST(again.json()["error"]["code"] == "key_reused");
    BOOST_TEST(cluster.ToolRuns("book_order").size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(connections_of_every_kind) {
  InCluster(Options(), [](Fiber& fiber, Cluster& cluster) {
    const auto address = cluster.daemon(0).address();
    const std::string path = "/v1/tools/stock_lookup";

    BOOST_TEST_MESSAGE("a slow sender of headers");
    RawConnection slow_head(address);
    slow_head.Send("POST / HTTP/1.1\r\nHost:");
    const auto slow_head_reply = slow_head.ReadReply();
    BOOST_TEST(StatusOf(slow_head_reply) == 408);
    BOOST_TEST(slow_head_reply.find("request_timeout") != std::string::npos);

    BOOST_TEST_MESSAGE("a slow sender of a body");
    RawConnection slow_body(address);
    slow_body.Send(Head(path, "slow", 100) + "{");
    BOOST_TEST(StatusOf(slow_body.ReadReply()) == 408);

    BOOST_TEST_MESSAGE("half closed after a whole request");
    RawConnection half(address);
    half.Send(Head(path, "half", 2) + "{}");
    half.CloseSending();
    BOOST_TEST(StatusOf(half.ReadReply()) == 200);

    BOOST_TEST_MESSAGE("half closed in the middle of a body");
    RawConnection cut(address);
    cut.Send(Head(path, "cut", 100) + "{");
    cut.CloseSending();
    const auto cut_reply = cut.ReadReply();
    BOOST_TEST(StatusOf(cut_reply) == 400);
    BOOST_TEST(cut_reply.find("request_cut") != std::string::npos);

    BOOST_TEST_MESSAGE("no HTTP at all");
    RawConnection junk(address);
    junk.Send("\x16\x03\x01 not HTTP\r\n\r\n");
    BOOST_TEST(StatusOf(junk.ReadReply()) == 400);

    BOOST_TEST_MESSAGE("three requests in one write");
    RawConnection pipe(address);
    pipe.Send(Head(path, "pipe-1", 2) + "{}" + Head(path, "pipe-2", 2) + "{}" +
              Head(path, "pipe-3", 1) + "x");
    BOOST_TEST(StatusOf(pipe.ReadReply()) == 200);
    BOOST_TEST(StatusOf(pipe.ReadReply()) == 200);
    BOOST_TEST(StatusOf(pipe.ReadReply()) == 400);

    BOOST_TEST_MESSAGE("a sender that waits to be told to go on");
    RawConnection polite(address);
    polite.Send(Head(path, "polite", 2, "Expect: 100-continue\r\n"));
    BOOST_TEST(StatusOf(polite.ReadReply()) == 100);
    polite.Send("{}");
    BOOST_TEST(StatusOf(polite.ReadReply()) == 200);

    BOOST_TEST_MESSAGE("an expectation that is not known");
    RawConnection odd(address);
    odd.Send(Head(path, "odd", 2, "Expect: tea\r\n"));
    BOOST_TEST(StatusOf(odd.ReadReply()) == 417);
    CheckServes(fiber, cluster, "after-connections");
  });
}

BOOST_AUTO_TEST_CASE(too_many_connections_are_told_so) {
  InCluster(Options(), [](Fiber& fiber, Cluster& cluster) {
    const auto address = cluster.daemon(0).address();
    std::vector<std::unique_ptr<RawConnection>> open;
    std::string reply;
    while (reply.empty() && open.size() <= kConnections) {
      open.push_back(std::make_unique<RawConnection>(address));
      reply = open.back()->ReadReply(std::chrono::milliseconds(20));
    }
    BOOST_TEST(StatusOf(reply) == 503);
    BOOST_TEST(reply.find("too_many_connections") != std::string::npos);
    BOOST_TEST(reply.find("Retry-After") != std::string::npos);
    open.clear();
    cluster.WaitFor("connections to be taken again",
                    [&] { return cluster.Status(0).is_object(); });
    CheckServes(fiber, cluster, "after-crowd");
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
