#include "figures.h"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace comfreyfold::bench {

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return std::nan("");
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(part * last))];
}

Line FitLine(const std::vector<Point>& points) {
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  for (const auto& it : points) {
    x += it.x;
    y += it.y;
    xx += it.x * it.x;
    xy += it.x * it.y;
  }
  const auto n = static_cast<double>(points.size());
  const double slope = (n * xy - x * y) / (n * xx - x * x);
  return {slope, (y - slope * x) / n};
}

void PrintSlope(const std::string& what,
                const std::string& unit,
                const std::vector<Point>& points) {
  const auto line = FitLine(points);
  std::cout << what << ": " << line.slope << " " << unit << ", at 0 "
            << line.start << "; points";
  for (const auto& it : points) {
    std::cout << " (" << it.x << ", " << it.y << ")";
  }
  std::cout << std::endl;
}

}  // namespace comfreyfold::bench
