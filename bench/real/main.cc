// The ranking of the policies on real processes: the same generated
// programs, scaled down, against a cluster for each policy in turn.

#include <algorithm>
#include <iomanip>
#include <iostream>

#include <cxxopts.hpp>

#include "clients/base64.h"
#include "harness/caller.h"
#include "harness/cluster.h"
#include "result.h"
#include "workload.h"

namespace comfreyfold::bench {
namespace {

using harness::Caller;
using harness::Cluster;
using harness::ClusterOptions;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr int kEngines = 3;
constexpr int kSlots = 4;
constexpr int kBytesPerToken = 4;
constexpr int kRefusedTries = 20;

struct RealOptions {
  WorkloadKind kind = WorkloadKind::kKiosk;
  std::uint64_t seed = 1;
  seconds arrivals{20};
  double load = 0.9;
  int memory_tokens = 40000;  // Of an engine.
  std::string setting;        // One more line of [decisions].
};

std::string ContractOf() {
  return "[customer]\nname = customer\napi_key_sha256 = " +
         Sha256Hex("bench-key") +
         "\n[budget]\ntokens = 1000000000\nperiod = 24h\n"
         "[share]\nweight = 1\nconcurrency = 1000\n"
         "[program]\ntokens = 100000000\n"
         "[tool stock_lookup]\nidempotent = true\nattempts = 3\n";
}

ClusterOptions OptionsOf(const std::string& policy,
                         const RealOptions& options) {
  ClusterOptions out;
  out.engines = kEngines;
  out.engine_arguments = {
      "--slots",         std::to_string(kSlots),
      "--memory-tokens", std::to_string(options.memory_tokens),
      "--load-lag-ms",   "500"};
  out.settings["decisions"] =
      "policy = " + policy + "\n" + options.setting + "\n";
  return out;
}

// The programs of one cluster and what was measured of them.
class RealRun {
 public:
  RealRun(Fiber& fiber, Cluster& cluster, const RealOptions& options)
      : fiber_(fiber), cluster_(cluster), ended_(fiber.loop()) {
    WorkloadOptions workload{options.kind, options.seed, options.arrivals};
    workload.slots = kEngines * kSlots;
    workload.base_load = options.load;
    workload.flood_load = 0;
    Shorten(workload);
    programs_ = Generate(workload, {});
  }

  Result Run() {
    result_.programs = static_cast<int>(programs_.size());
    open_ = result_.programs;
    for (const auto& it : programs_) {
      fiber_.loop().Spawn([this, &it](Fiber& child) { RunProgram(child, it); });
    }
    ended_.WaitUntil(fiber_, std::chrono::minutes(5),
                     [this] { return open_ == 0; });
    result_.failed += open_;
    ReadAudits();
    return result_;
  }

 private:
  void RunProgram(Fiber& fiber, const GeneratedProgram& spec) {
    fiber.Sleep(std::chrono::duration_cast<milliseconds>(spec.arrival));
    Caller caller(fiber, cluster_.http(), "bench-key", NameOf(spec));
    nanoseconds latency{};
    bool answered = true;
    for (std::size_t i = 0; i < spec.turns.size() && answered; ++i) {
      const auto asked = std::chrono::steady_clock::now();
      answered = RunTurn(fiber, caller, spec, i);
      latency += std::chrono::steady_clock::now() - asked;
      if (i + 1 < spec.turns.size()) {
        fiber.Sleep(
            std::chrono::duration_cast<milliseconds>(spec.turns[i].pause));
      }
    }
    caller.EndProgram(Address(spec, 0));
    if (answered) {
      ++result_.finished;
      result_.latency_s.push_back(duration<double>(latency).count());
    } else {
      ++result_.failed;
    }
    --open_;
    ended_.NotifyAll();
  }

  // A model turn and the tool call after it.
  bool RunTurn(Fiber& fiber,
               Caller& caller,
               const GeneratedProgram& spec,
               std::size_t index) {
    const auto& turn = spec.turns[index];
    const auto key = std::to_string(index);
    const std::string text(
        static_cast<std::size_t>(turn.added_tokens) * kBytesPerToken, 'x');
    int status = 0;
    for (int n = 0; n < kRefusedTries && status != 200; ++n) {
      status = caller
                   .SendTurn(Address(spec, index), "m" + key, key + text,
                             static_cast<int>(turn.answer_tokens))
                   .status;
      if (status != 200) {
        ++result_.refused;
        fiber.Sleep(milliseconds(200));
      }
    }
    return status == 200 && caller.CallTool(Address(spec, index), "t" + key,
                                            "stock_lookup", {{}})
                                    .status == 200;
  }

  static std::string NameOf(const GeneratedProgram& spec) {
    auto out = spec.id;
    std::replace(out.begin(), out.end(), '/', '-');
    return out;
  }

  std::string Address(const GeneratedProgram& spec, std::size_t index) {
    const auto n = spec.id.size() + spec.turns.size() + index;
    return cluster_.daemon(static_cast<int>(n) % cluster_.daemons()).address();
  }

  // What each engine prefilled, against what the program's turns before had
  // in their prompts.
  void ReadAudits() {
    std::map<std::string, std::map<std::int64_t, nlohmann::json>> runs;
    for (int i = 0; i < kEngines; ++i) {
      const auto audit = cluster_.Audit(cluster_.engine(i));
      for (const auto& it : audit["runs"]) {
        auto& run = runs[it["program"]][it["time_us"]];
        run = it;
        run["engine"] = i;
      }
    }
    for (const auto& [program, turns] : runs) {
      std::int64_t seen = 0;
      int engine = 0;
      for (const auto& [at, it] : turns) {
        const auto prompt = it["prompt_tokens"].get<std::int64_t>();
        const auto cached = it["cached_tokens"].get<std::int64_t>();
        result_.prompt_tokens += prompt;
        const auto again =
            std::max<std::int64_t>(0, std::min(seen, prompt) - cached);
        result_.prefilled_again_tokens += again;
        result_.again_after_move_tokens += it["engine"] == engine ? 0 : again;
        seen = prompt;
        engine = it["engine"];
      }
    }
  }

  Fiber& fiber_;
  Cluster& cluster_;
  Condition ended_;
  std::vector<GeneratedProgram> programs_;
  int open_ = 0;
  Result result_;
};

void Measure(Fiber& fiber,
             const std::string& policy,
             const RealOptions& options) {
  Cluster cluster(fiber, OptionsOf(policy, options));
  cluster.WaitReady();
  cluster.Apply({ContractOf()});
  const auto result = RealRun(fiber, cluster, options).Run();
  std::cout << std::left << std::setw(14) << policy << std::right << std::fixed
            << std::setprecision(2) << std::setw(10)
            << Percentile(result.latency_s, 0.50) << std::setw(10)
            << Percentile(result.latency_s, 0.95) << std::setw(10)
            << Percentile(result.latency_s, 0.99) << std::setw(10)
            << 100 * result.wasted_share() << std::setw(10)
            << 100.0 * static_cast<double>(result.again_after_move_tokens) /
                   static_cast<double>(
                       std::max<std::int64_t>(1, result.prompt_tokens))
            << std::setw(10) << result.finished << std::setw(10)
            << result.failed << std::setw(10) << result.refused << std::endl;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("comfreyfold_real_run",
                           "The policies on real processes");
  options.add_options()("workload", "quote or kiosk",
                        cxxopts::value<std::string>()->default_value("kiosk"))(
      "seed", "of the generated programs",
      cxxopts::value<int>()->default_value("1"))(
      "seconds", "for which programs arrive",
      cxxopts::value<int>()->default_value("20"))(
      "load", "percent of the engines' slots",
      cxxopts::value<int>()->default_value("90"))(
      "memory-tokens", "of each engine",
      cxxopts::value<int>()->default_value("40000"))(
      "setting", "a line for [decisions], as in 'slot_headroom_percent = 150'",
      cxxopts::value<std::string>()->default_value(""))(
      "policies", "by name",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "ours,round_robin,least_loaded"));
  const auto args = options.parse(argc, argv);
  const RealOptions run{args["workload"].as<std::string>() == "quote"
                            ? WorkloadKind::kQuote
                            : WorkloadKind::kKiosk,
                        static_cast<std::uint64_t>(args["seed"].as<int>()),
                        seconds(args["seconds"].as<int>()),
                        args["load"].as<int>() / 100.0,
                        args["memory-tokens"].as<int>(),
                        args["setting"].as<std::string>()};
  std::cout << ToString(run.kind) << ", seed " << run.seed << "\n"
            << "policy             p50_s     p95_s     p99_s  wasted_%   "
               "moved_%      "
               "done    failed   refused\n";
  Loop loop;
  int code = 0;
  loop.OnError([&code](const char* what) {
    std::cerr << what << std::endl;
    code = 1;
  });
  loop.Spawn([&](Fiber& fiber) {
    for (const auto& it : args["policies"].as<std::vector<std::string>>()) {
      Measure(fiber, it, run);
    }
    loop.Stop();
  });
  loop.Run();
  return code;
}

}  // namespace
}  // namespace comfreyfold::bench

int main(int argc, char** argv) {
  return comfreyfold::bench::Main(argc, argv);
}
