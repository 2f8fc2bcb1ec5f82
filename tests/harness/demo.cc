// Demonstrates the system end to end: runs one agent program of each of two
// customers through three daemons, sending every call to the next daemon.
// Exits with 0 only if all checks pass, among them that every tool call with a
// lasting effect ran exactly once.

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "harness/caller.h"
#include "harness/cluster.h"

namespace comfreyfold::harness {
namespace {

using Clock = std::chrono::steady_clock;

// Prints the result of each check and records whether any failed.
class Checks {
 public:
  void Expect(bool passed, const std::string& what) {
    std::cout << (passed ? "  ok    " : "  FAILED ") << what << std::endl;
    failed_ = failed_ || !passed;
  }
  bool failed() const { return failed_; }

 private:
  bool failed_ = false;
};

void PrintLine(const std::string& text) {
  std::cout << text << std::endl;
}

// Sends the calls of one program, each through the next daemon in turn.
class RoundRobinCaller {
 public:
  RoundRobinCaller(Fiber& fiber,
                   Cluster& cluster,
                   const std::string& api_key,
                   const std::string& program)
      : cluster_(cluster), caller_(fiber, cluster.http(), api_key, program) {}

  CallAnswer SendTurn(const std::string& key, const std::string& text) {
    std::cout << "  " << key << " via d" << next_ << ": " << std::flush;
    auto answer = caller_.SendTurn(
        NextAddress(), key, text, 8,
        [](std::string_view it) { std::cout << it << std::flush; });
    std::cout << std::endl;
    return answer;
  }

  CallAnswer CallTool(const std::string& key,
                      const std::string& tool,
                      const nlohmann::json& arguments,
                      const std::string& path = "tools") {
    std::cout << "  " << key << " via d" << next_ << ": " << std::flush;
    auto answer = caller_.CallTool(NextAddress(), key, tool, arguments, path);
    std::cout << answer.body << std::endl;
    return answer;
  }

  CallAnswer EndProgram() { return caller_.EndProgram(NextAddress()); }
  CallAnswer GetHistory() { return caller_.GetHistory(NextAddress()); }

 private:
  std::string NextAddress() {
    const auto address = cluster_.daemon(next_).address();
    next_ = (next_ + 1) % cluster_.daemons();
    return address;
  }

  Cluster& cluster_;
  Caller caller_;
  int next_ = 0;
};

void RunQuote(Fiber& fiber, Cluster& cluster, Checks& checks) {
  PrintLine("\nquote conversation (program quote-1)");
  RoundRobinCaller caller(fiber, cluster, kQuoteKey, "quote-1");
  checks.Expect(
      caller.SendTurn("ask-1", "A quote for steel strapping, 19 mm").status ==
          200,
      "first turn answered");
  checks.Expect(
      caller.CallTool("stock-1", "stock_lookup", {{"item", "steel-19"}})
              .status == 200,
      "stock lookup answered");
  checks.Expect(
      caller.SendTurn("ask-2", "In stock: 40 coils. Go on.").status == 200,
      "second turn answered");
  const nlohmann::json order = {{"item", "steel-19"}, {"pallets", 1}};
  checks.Expect(caller.CallTool("order-1", "book_order", order).status == 200,
                "order booked");
  checks.Expect(caller.CallTool("order-1", "book_order", order).status == 200,
                "the same order sent again is answered");
  checks.Expect(cluster.ToolRuns("book_order").size() == 1,
                "the order was booked once");
  const auto history = caller.GetHistory().json();
  checks.Expect(history["calls"].size() == 4 && history["messages"].size() == 4,
                "history is complete");
  checks.Expect(caller.EndProgram().status == 200, "program ended");
}

void RunKiosk(Fiber& fiber, Cluster& cluster, Checks& checks) {
  PrintLine("\nkiosk session (program kiosk-1)");
  RoundRobinCaller caller(fiber, cluster, kKioskKey, "kiosk-1");
  checks.Expect(
      caller.SendTurn("offer-1", "42.17 counted; offer a voucher").status ==
          200,
      "voucher offered");
  checks.Expect(
      caller.CallTool("voucher-1", "print_voucher", {{"cents", 4000}}).status ==
          200,
      "voucher printed");
  checks.Expect(
      caller.CallTool("lock-1", "kiosk_lock", {{"kiosk", 7}}, "urgent")
              .status == 200,
      "urgent lock sent between the other calls");
  checks.Expect(
      caller.CallTool("donation-1", "credit_donation", {{"cents", 217}})
              .status == 200,
      "donation credited");
  checks.Expect(cluster.ToolRuns("print_voucher").size() == 1,
                "one voucher at the printer");
  checks.Expect(cluster.ToolRuns("credit_donation").size() == 1,
                "one donation credited");
  checks.Expect(cluster.ToolRuns("kiosk_lock").size() == 1,
                "one lock at the kiosk");
  checks.Expect(caller.EndProgram().status == 200, "program ended");
}

std::size_t HeldPrograms(Cluster& cluster, int engines) {
  std::size_t out = 0;
  for (int i = 0; i < engines; ++i) {
    out += cluster.Audit(cluster.engine(i))["held"].size();
  }
  return out;
}

void PrintStatistics(Cluster& cluster,
                     int engines,
                     Clock::duration quote,
                     Clock::duration kiosk) {
  std::int64_t prompt = 0;
  std::int64_t cached = 0;
  for (int i = 0; i < engines; ++i) {
    const auto audit = cluster.Audit(cluster.engine(i));
    for (const auto& it : audit["runs"]) {
      prompt += it["prompt_tokens"].get<std::int64_t>();
      cached += it["cached_tokens"].get<std::int64_t>();
    }
  }
  const auto ms = [](Clock::duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  std::cout << "\nprogram latency: quote " << ms(quote) << " ms, kiosk "
            << ms(kiosk) << " ms\nprompt tokens: " << prompt
            << ", found in a prefix cache: " << cached << std::endl;
}

void PrintAddresses(Cluster& cluster) {
  for (int i = 0; i < cluster.daemons(); ++i) {
    PrintLine("d" + std::to_string(i) + ": http://" +
              cluster.daemon(i).address());
  }
  const auto curl =
      "  curl -H 'Authorization: Bearer " + std::string(kQuoteKey) +
      "' -H 'Comfreyfold-Program: mine' http://" + cluster.daemon(0).address();
  PrintLine("a model turn:\n" + curl +
            "/v1/chat/completions -d '{\"model\":\"quote-large\",\"messages\":"
            "[{\"role\":\"user\",\"content\":\"hello\"}]}'");
  PrintLine("a tool call:\n" + curl + "/v1/tools/stock_lookup -d '{}'");
  PrintLine(
      "a call to a plain service and an urgent message (which needs the API "
      "key of a contract that allows it):\n" +
      curl + "/v1/services/stock_lookup -d '{}'\n" + curl +
      "/v1/urgent/kiosk_lock -d '{}'");
  PrintLine("the recorded answer of a call, by its Idempotency-Key:\n" + curl +
            "/v1/programs/mine/calls/KEY");
  PrintLine("the history of the program:\n" + curl +
            "/v1/programs/mine/history");
  PrintLine("end the program:\n" + curl + "/v1/programs/mine/end -d '{}'");
}

int RunDemo(Fiber& fiber, bool keep) {
  ClusterOptions options;
  Cluster cluster(fiber, options);
  cluster.WaitReady();
  cluster.Apply({QuoteContract(), KioskContract()});
  PrintLine("three daemons in three data centres, two contracts in force");
  if (keep) {
    PrintAddresses(cluster);
    PrintLine("running; press Ctrl-C to stop");
    while (true) {
      fiber.Sleep(std::chrono::hours(1));
    }
  }
  Checks checks;
  const auto start = Clock::now();
  RunQuote(fiber, cluster, checks);
  const auto middle = Clock::now();
  RunKiosk(fiber, cluster, checks);
  const auto end = Clock::now();
  cluster.WaitFor("engine memory to be released",
                  [&] { return HeldPrograms(cluster, options.engines) == 0; });
  checks.Expect(true, "engine memory released");

  PrintLine("\ntimeline of quote-1, merged from all daemons");
  const auto tool = cluster.RunOperatorTool({"timeline", "quote-1"});
  checks.Expect(tool->Wait(std::chrono::seconds(10)) == 0, "timeline merged");
  PrintLine(tool->output());
  PrintStatistics(cluster, options.engines, middle - start, end - middle);

  for (int i = 0; i < cluster.daemons(); ++i) {
    cluster.daemon(i).Signal(SIGTERM);
  }
  bool graceful = true;
  for (int i = 0; i < cluster.daemons(); ++i) {
    graceful =
        cluster.daemon(i).Wait(std::chrono::seconds(20)) == 0 && graceful;
  }
  checks.Expect(graceful, "every daemon stopped gracefully");
  PrintLine(checks.failed() ? "\ndemo FAILED" : "\ndemo passed");
  return checks.failed() ? 1 : 0;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_demo",
                           "Runs two agent programs end to end");
  options.add_options()(
      "keep",
      "run no programs; keep the daemons and stand-ins running until Ctrl-C");
  const auto args = options.parse(argc, argv);
  int code = 1;
  Loop loop;
  loop.OnError([&](const char* what) {
    std::cerr << "demo failed: " << what << std::endl;
    loop.Stop();
  });
  loop.Spawn([&](Fiber& fiber) {
    code = RunDemo(fiber, args.count("keep") > 0);
    loop.Stop();
  });
  loop.OnTermination([&loop] { loop.Stop(); });
  loop.Run();
  return code;
}

}  // namespace
}  // namespace comfreyfold::harness

int main(int argc, char** argv) {
  return comfreyfold::harness::Main(argc, argv);
}
