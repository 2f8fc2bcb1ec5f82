#include "report.h"

#include <algorithm>
#include <iomanip>

#include "workload.h"

namespace comfreyfold::bench {

namespace {

constexpr double kPercent = 100;
constexpr int kNameWidth = 18;
constexpr int kWidth = 10;

struct Column {
  const char* name;
  double (*value)(const Result&);
};

double Share(double part, double whole) {
  return whole <= 0 ? 0 : kPercent * part / whole;
}

// The slowest of the customers within their share.
double WorstCustomer(const Result& result) {
  double out = 0;
  for (const auto& [name, values] : result.customer_latency_s) {
    if (name != kFloodCustomer) {
      out = std::max(out, Percentile(values, 0.95));
    }
  }
  return out;
}

double FloodShare(const Result& result) {
  double all = 0;
  double flood = 0;
  for (const auto& [name, work] : result.customer_work_s) {
    all += work;
    flood += name == kFloodCustomer ? work : 0;
  }
  return Share(flood, all);
}

double InnocentRefusals(const Result& result) {
  int out = 0;
  for (const auto& [name, n] : result.customer_refused) {
    out += name == kFloodCustomer ? 0 : n;
  }
  return out;
}

const Column kColumns[] = {
    {"p50_s", [](const Result& it) { return Percentile(it.latency_s, 0.50); }},
    {"p95_s", [](const Result& it) { return Percentile(it.latency_s, 0.95); }},
    {"p99_s", [](const Result& it) { return Percentile(it.latency_s, 0.99); }},
    {"base95_s", WorstCustomer},
    {"wasted_%", [](const Result& it) { return kPercent * it.wasted_share(); }},
    {"again_%",
     [](const Result& it) {
       return Share(static_cast<double>(it.prefilled_again_tokens),
                    static_cast<double>(it.prompt_tokens));
     }},
    {"moved_%",
     [](const Result& it) {
       return Share(static_cast<double>(it.again_after_move_tokens),
                    static_cast<double>(it.prompt_tokens));
     }},
    {"unused_%",
     [](const Result& it) {
       return Share(static_cast<double>(it.held_unused_tokens),
                    static_cast<double>(it.prompt_tokens));
     }},
    {"done_%",
     [](const Result& it) { return Share(it.finished, it.programs); }},
    {"refused_%",
     [](const Result& it) { return Share(it.refused, it.programs); }},
    {"base_ref", InnocentRefusals},
    {"gave_up_%",
     [](const Result& it) { return Share(it.abandoned, it.programs); }},
    {"failed", [](const Result& it) { return double(it.failed); }},
    {"busy_%",
     [](const Result& it) { return Share(it.useful_work_s, it.capacity_s); }},
    {"flood_%", FloodShare},
    {"urg50_ms",
     [](const Result& it) { return Percentile(it.urgent_delay_ms, 0.50); }},
    {"urg99_ms",
     [](const Result& it) { return Percentile(it.urgent_delay_ms, 0.99); }},
};

}  // namespace

void PrintHeading(std::ostream& out) {
  out << std::left << std::setw(kNameWidth) << "policy" << std::right;
  for (const auto& it : kColumns) {
    out << std::setw(kWidth) << it.name;
  }
  out << "\n";
}

void PrintRow(std::ostream& out, const Row& row) {
  out << std::left << std::setw(kNameWidth) << row.policy << std::right
      << std::fixed << std::setprecision(2);
  for (const auto& it : kColumns) {
    out << std::setw(kWidth) << it.value(row.result);
  }
  out << std::endl;
}

void WriteCsvHeading(std::ostream& out) {
  out << "workload,scenario,policy";
  for (const auto& it : kColumns) {
    out << "," << it.name;
  }
  out << "\n";
}

void WriteCsvRow(std::ostream& out, const Row& row) {
  out << row.workload << "," << row.scenario << "," << row.policy;
  for (const auto& it : kColumns) {
    out << "," << it.value(row.result);
  }
  out << "\n";
}

}  // namespace comfreyfold::bench
