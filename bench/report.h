#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <ostream>
#include <string>

#include "result.h"

namespace comfreyfold::bench {

// The measures of one policy in one scenario, over all seeds.
struct Row {
  std::string workload;
  std::string scenario;
  std::string policy;
  Result result;
};

void PrintHeading(std::ostream& out);
void PrintRow(std::ostream& out, const Row& row);
void WriteCsvHeading(std::ostream& out);
void WriteCsvRow(std::ostream& out, const Row& row);

}  // namespace comfreyfold::bench

#endif  // BENCH_REPORT_H_
