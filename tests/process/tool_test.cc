#include <boost/test/unit_test.hpp>

#include "process/chat.h"
#include "process/contract_files.h"
#include "process/in_cluster.h"

namespace comfreyfold::process {
namespace {

using harness::Cluster;
using nlohmann::json;
using std::chrono::seconds;

struct ToolRun {
  int code = -1;
  std::string output;
  json body() const { return json::parse(output, nullptr, false); }
};

ToolRun Run(Cluster& cluster, const std::vector<std::string>& arguments) {
  const auto tool = cluster.RunOperatorTool(arguments);
  ToolRun out;
  out.code = tool->Wait(seconds(30));
  out.output = tool->output();
  return out;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

BOOST_AUTO_TEST_SUITE(tool)

BOOST_AUTO_TEST_CASE(a_contract_goes_through_its_life) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    ContractFiles files;
    const auto text = ContractWith("tokens = 5000", "turns = 9");
    const auto file = files.Write("bandwerk", text);
    BOOST_TEST(Run(cluster, {"validate", file}).code == 0);

    const auto diff = Run(cluster, {"diff", file});
    BOOST_TEST(diff.code == 0);
    BOOST_TEST(Has(diff.output, "bandwerk [budget] tokens: 1000000 -> 5000\n"));
    BOOST_TEST(Has(diff.output, "bandwerk [program] turns: (none) -> 9\n"));
    BOOST_TEST(Has(diff.output, "[tool book_order] idempotent: false"));

    BOOST_TEST(Run(cluster, {"--dry-run", "apply", file}).code == 0);
    BOOST_TEST(Has(Run(cluster, {"get", "bandwerk"}).output, "1000000"));

    BOOST_TEST(Run(cluster, {"apply", file}).code == 0);
    BOOST_TEST(Run(cluster, {"get", "bandwerk"}).output == text);
    const auto again = Run(cluster, {"--json", "apply", file});
    BOOST_TEST(again.code == 0);
    BOOST_TEST(again.body()["outcome"] == "unchanged");

    BOOST_TEST(Chat(fiber, cluster, 0, {"p", "k"}).status == 200);
    BOOST_TEST(Run(cluster, {"remove", "bandwerk"}).code == 0);
    BOOST_TEST(Chat(fiber, cluster, 1, {"p", "k-2"}).status == 401);
    BOOST_TEST(Run(cluster, {"get", "bandwerk"}).code == 1);
    BOOST_TEST(Run(cluster, {"get"}).output == "lakeshore\n");
  });
}

BOOST_AUTO_TEST_CASE(status_and_programs_over_all_daemons) {
  InCluster({}, [](Fiber& fiber, Cluster& cluster) {
    for (int i = 0; i < 4; ++i) {
      const auto name = "p-" + std::to_string(i);
      BOOST_TEST(Chat(fiber, cluster, i % 3, {name, "k"}).status == 200);
    }
    const auto programs = Run(cluster, {"--json", "programs", "bandwerk"});
    BOOST_TEST(programs.code == 0);
    const auto list = programs.body()["programs"];
    BOOST_REQUIRE(list.size() == 4U);
    for (const auto& it : list) {
      BOOST_TEST(it["calls"] == 1);
      BOOST_TEST(it["state"] == "waiting");
    }
    BOOST_TEST(Run(cluster, {"--json", "programs", "nobody"})
                   .body()["programs"]
                   .empty());

    const auto status = Run(cluster, {"--json", "status"});
    BOOST_TEST(status.code == 0);
    BOOST_TEST(status.body()["daemons"].size() == 3U);
    cluster.daemon(1).Kill();
    const auto missing = Run(cluster, {"--json", "status"});
    BOOST_TEST(missing.code == 1);
    BOOST_TEST(missing.body()["daemons"].size() == 2U);
    BOOST_TEST(missing.body()["missing"][0]["address"] ==
               cluster.daemon(1).address());
  });
}

BOOST_AUTO_TEST_CASE(addresses_from_settings_and_members) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    ContractFiles files;
    const auto settings = files.Write(
        "tool", "[tool]\nkey_value = " + cluster.kv().address() + "\n");
    const auto status = cluster.RunOperatorToolWithoutAddresses(
        {"--config", settings, "--json", "status"});
    BOOST_TEST(status->Wait(seconds(20)) == 0);
    const auto body = json::parse(status->output());
    BOOST_TEST(body["daemons"].size() == 3U);
    const auto typo = files.Write("typo", "[tool]\nkey_valeu = x\n");
    const auto refused = cluster.RunOperatorToolWithoutAddresses(
        {"--config", typo, "--json", "status"});
    BOOST_TEST(refused->Wait(seconds(20)) == 2);
  });
}

BOOST_AUTO_TEST_CASE(faults_are_told_with_file_and_line) {
  InCluster({}, [](Fiber&, Cluster& cluster) {
    ContractFiles files;
    const auto file = files.Write(
        "bad", "[customer]\nname = bandwerk\n[budget]\ntokens = many\n");
    const auto bad = Run(cluster, {"--json", "validate", file});
    BOOST_TEST(bad.code == 1);
    const auto faults = bad.body()["faults"];
    bool told = false;
    for (const auto& it : faults) {
      told = told || (it["line"] == 4 && it["file"] == file &&
                      Has(it["message"], "'many'"));
    }
    BOOST_TEST(told, bad.output);
    const auto text = ContractWith("tokens = 1", "turns = 9");
    const auto one = files.Write("one", text);
    const auto two = files.Write("two", text);
    BOOST_TEST(Run(cluster, {"apply", one, two}).code == 1);
    BOOST_TEST(Run(cluster, {"apply", files.Write("empty", "")}).code == 1);
    // Another customer with lakeshore's API key.
    auto stolen = harness::KioskContract();
    stolen.replace(stolen.find("lakeshore"), 9, "lakeside");
    BOOST_TEST(Run(cluster, {"apply", files.Write("stolen", stolen)}).code ==
               1);
    BOOST_TEST(Run(cluster, {"apply"}).code == 2);
    BOOST_TEST(Run(cluster, {"aply", one}).code == 2);
    // Without an address of the key-value service.
    for (const char* command : {"get", "diff", "apply", "remove"}) {
      const auto tool = cluster.RunOperatorToolWithoutAddresses({command, one});
      BOOST_TEST(tool->Wait(seconds(20)) == 2, command);
    }
  });
}

BOOST_AUTO_TEST_CASE(every_command_has_the_same_page) {
  harness::ClusterOptions options;
  options.daemons = 1;
  InCluster(options, [](Fiber&, Cluster& cluster) {
    for (const auto* it : {"validate", "diff", "apply", "get", "remove",
                           "status", "programs", "timeline"}) {
      const auto page = Run(cluster, {"help", it});
      BOOST_TEST(page.code == 0);
      std::size_t at = 0;
      for (const auto* heading : {"Synopsis\n", "Description\n", "Options\n",
                                  "Exit codes\n", "Example\n"}) {
        const auto next = page.output.find(heading, at);
        BOOST_TEST(next != std::string::npos, it << ": " << heading);
        at = next == std::string::npos ? at : next;
      }
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace comfreyfold::process
