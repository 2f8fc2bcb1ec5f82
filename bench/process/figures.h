#ifndef BENCH_PROCESS_FIGURES_H_
#define BENCH_PROCESS_FIGURES_H_

#include <string>
#include <vector>

namespace comfreyfold::bench {

// The value below which `part` of the values lie; `values` need no order.
double Percentile(std::vector<double> values, double part);

struct Point {
  double x = 0;
  double y = 0;
};

struct Line {
  double slope = 0;
  double start = 0;  // At x = 0.
};

// Least squares through two or more points.
Line FitLine(const std::vector<Point>& points);

// One row: what was measured, the line through it, and its points.
void PrintSlope(const std::string& what,
                const std::string& unit,
                const std::vector<Point>& points);

}  // namespace comfreyfold::bench

#endif  // BENCH_PROCESS_FIGURES_H_
