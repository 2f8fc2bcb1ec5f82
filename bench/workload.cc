#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace comfreyfold::bench {

namespace {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr int kBaseCustomers = 4;
constexpr double kDeathRate = 0.03;
constexpr seconds kKioskPatience{8};

// Draws that are the same on every library: only the generator's bits and
// elementary functions are used.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : generator_(seed) {}

  double Unit() {
    constexpr double kTwoTo53 = 9007199254740992.0;
    return static_cast<double>(generator_() >> 11) / kTwoTo53;
  }
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(Unit() *
                                           static_cast<double>(high - low + 1));
  }
  // Pareto with shape `alpha`, cut at `most`.
  double Pareto(double least, double alpha, double most) {
    return std::min(most, least / std::pow(1 - Unit(), 1 / alpha));
  }
  nanoseconds Pause(double least, double alpha, double most) {
    return duration_cast<nanoseconds>(
        duration<double>(Pareto(least, alpha, most)));
  }

 private:
  std::mt19937_64 generator_;
};

Turn MakeTurn(Draw& draw,
              std::int64_t added,
              std::int64_t answer,
              const std::string& tool) {
  Turn out;
  out.added_tokens = draw.Between(added / 2, added * 3 / 2);
  out.answer_tokens = draw.Between(answer / 2, answer * 3 / 2);
  out.max_tokens = answer * 2;
  out.tool = tool;
  out.tool_service = draw.Pause(0.03, 2.0, 1.0);
  return out;
}

void MakeLookup(Draw& draw, GeneratedProgram& program) {
  const auto n = draw.Between(2, 4);
  for (std::int64_t i = 0; i < n; ++i) {
    auto turn = MakeTurn(draw, i == 0 ? 900 : 200, 50, "stock_lookup");
    turn.pause = draw.Pause(1, 1.5, 60);
    program.turns.push_back(turn);
  }
}

void MakeQuote(Draw& draw, GeneratedProgram& program) {
  const auto n = static_cast<std::int64_t>(draw.Pareto(4, 1.4, 40));
  for (std::int64_t i = 0; i < n; ++i) {
    auto turn = MakeTurn(draw, i == 0 ? 2500 : 900, 120, "price_quote");
    turn.pause = draw.Pause(3, 1.3, 120);
    program.turns.push_back(turn);
  }
}

void MakeTender(Draw& draw, GeneratedProgram& program) {
  const auto n = draw.Between(5, 12);
  for (std::int64_t i = 0; i < n; ++i) {
    auto turn = MakeTurn(draw, i == 0 ? 16000 : 2500, 600, "tender_archive");
    turn.pause = draw.Pause(5, 1.2, 180);
    program.turns.push_back(turn);
  }
}

void MakeSession(Draw& draw, GeneratedProgram& program) {
  program.patience = kKioskPatience;
  const auto n = draw.Between(2, 5);
  for (std::int64_t i = 0; i < n; ++i) {
    auto turn = MakeTurn(draw, i == 0 ? 1200 : 250, 50,
                         i + 1 == n ? "print_voucher" : "customer_choice");
    turn.pause = draw.Pause(1.5, 1.6, 45);
    program.turns.push_back(turn);
  }
}

void MakeDiagnosis(Draw& draw, GeneratedProgram& program) {
  program.patience = kKioskPatience * 2;
  const auto n = static_cast<std::int64_t>(draw.Pareto(6, 1.3, 50));
  for (std::int64_t i = 0; i < n; ++i) {
    auto turn = MakeTurn(draw, i == 0 ? 3000 : 800, 150, "sensor_log");
    turn.pause = draw.Pause(0.5, 1.2, 60);
    program.turns.push_back(turn);
  }
}

void FillQuote(Draw& draw, GeneratedProgram& program) {
  const double kind = draw.Unit();
  if (kind < 0.60) {
    MakeLookup(draw, program);
  } else if (kind < 0.95) {
    MakeQuote(draw, program);
  } else {
    MakeTender(draw, program);
  }
}

void FillKiosk(Draw& draw, GeneratedProgram& program) {
  if (draw.Unit() < 0.92) {
    MakeSession(draw, program);
  } else {
    MakeDiagnosis(draw, program);
  }
}

nanoseconds WorkOf(const GeneratedProgram& program, const EngineCosts& costs) {
  nanoseconds out{};
  for (const auto& it : program.turns) {
    out += it.added_tokens * costs.prefill_per_token +
           it.answer_tokens * costs.decode_per_token;
  }
  return out;
}

// Programs of one group of customers whose work fills `load` of the slots.
void GenerateGroup(const WorkloadOptions& options,
                   const EngineCosts& costs,
                   Draw draw,
                   double load,
                   const std::string& group,
                   int customers,
                   std::vector<GeneratedProgram>& out) {
  const duration<double> wanted = options.duration * options.slots * load;
  duration<double> work{};
  for (int i = 0; work < wanted; ++i) {
    GeneratedProgram program;
    program.customer =
        customers == 1 ? group : group + std::to_string(i % customers);
    program.id = program.customer + "/" + std::to_string(i);
    program.weight = 1;
    if (options.kind == WorkloadKind::kQuote) {
      FillQuote(draw, program);
    } else {
      FillKiosk(draw, program);
    }
    program.dies = draw.Unit() < kDeathRate;
    program.arrival =
        duration_cast<nanoseconds>(options.duration * draw.Unit());
    program.work = WorkOf(program, costs);
    work += program.work;
    out.push_back(std::move(program));
  }
}

}  // namespace

std::string ToString(WorkloadKind kind) {
  return kind == WorkloadKind::kQuote ? "quote" : "kiosk";
}

void Shorten(WorkloadOptions& options) {
  options.most_turns = 6;
  options.pause_divisor = 4;
  options.most_pause = seconds(3);
}

std::vector<GeneratedProgram> Generate(const WorkloadOptions& options,
                                       const EngineCosts& costs) {
  std::vector<GeneratedProgram> out;
  GenerateGroup(options, costs, Draw(options.seed), options.base_load,
                "customer-", kBaseCustomers, out);
  GenerateGroup(options, costs, Draw(options.seed + 1000), options.flood_load,
                kFloodCustomer, 1, out);
  for (auto& program : out) {
    if (options.most_turns > 0) {
      program.turns.resize(std::min(program.turns.size(), options.most_turns));
    }
    for (auto& it : program.turns) {
      it.pause = std::min(options.most_pause, it.pause / options.pause_divisor);
    }
  }
  return out;
}

}  // namespace comfreyfold::bench
