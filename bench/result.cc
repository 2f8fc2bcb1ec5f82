#include "result.h"

#include <algorithm>
#include <cmath>

namespace comfreyfold::bench {

namespace {

void Append(std::vector<double>& out, const std::vector<double>& more) {
  out.insert(out.end(), more.begin(), more.end());
}

}  // namespace

double Result::wasted_share() const {
  return prompt_tokens == 0 ? 0
                            : static_cast<double>(prefilled_again_tokens +
                                                  held_unused_tokens) /
                                  static_cast<double>(prompt_tokens);
}

void Result::Add(const Result& other) {
  Append(latency_s, other.latency_s);
  for (const auto& [name, values] : other.customer_latency_s) {
    Append(customer_latency_s[name], values);
  }
  for (const auto& [name, work] : other.customer_work_s) {
    customer_work_s[name] += work;
  }
  for (const auto& [name, n] : other.customer_refused) {
    customer_refused[name] += n;
  }
  prompt_tokens += other.prompt_tokens;
  prefilled_again_tokens += other.prefilled_again_tokens;
  again_after_move_tokens += other.again_after_move_tokens;
  held_unused_tokens += other.held_unused_tokens;
  Append(urgent_delay_ms, other.urgent_delay_ms);
  programs += other.programs;
  finished += other.finished;
  refused += other.refused;
  abandoned += other.abandoned;
  failed += other.failed;
  useful_work_s += other.useful_work_s;
  capacity_s += other.capacity_s;
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

}  // namespace comfreyfold::bench
