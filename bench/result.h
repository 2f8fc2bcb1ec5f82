#ifndef BENCH_RESULT_H_
#define BENCH_RESULT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace comfreyfold::bench {

// What one run measured.
struct Result {
  std::vector<double> latency_s;  // Of each finished program, pauses out.
  std::map<std::string, std::vector<double>> customer_latency_s;
  std::map<std::string, double> customer_work_s;  // Served, on slots.
  std::int64_t prompt_tokens = 0;
  std::int64_t prefilled_again_tokens = 0;
  // Of them, by a turn on another engine than the turn before.
  std::int64_t again_after_move_tokens = 0;
  std::int64_t held_unused_tokens = 0;
  std::vector<double> urgent_delay_ms;
  int programs = 0;
  int finished = 0;
  int refused = 0;
  std::map<std::string, int> customer_refused;
  int abandoned = 0;         // The customer lost patience.
  int failed = 0;            // Ended by failures.
  double useful_work_s = 0;  // Of finished programs while load was offered.
  double capacity_s = 0;

  double wasted_share() const;
  // Adds the measures of a run with another seed.
  void Add(const Result& other);
};

// The value that `share` of the values do not pass; 0 when there are none.
double Percentile(std::vector<double> values, double share);

}  // namespace comfreyfold::bench

#endif  // BENCH_RESULT_H_
