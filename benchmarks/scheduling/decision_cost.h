#pragma once

#include <cstdint>

namespace hickorystall::benchmark {

/// Cost of one decision at a fraction or multiple of the two-year size.
struct decision_cost {
  /// Size relative to the two-year size.
  double factor = 0;
  /// Running tasks in the snapshot.
  int tasks = 0;
  /// Waiting jobs in the snapshot.
  int waiting = 0;
  /// Median and least real time of a decision on the state at the end of a day, with nothing to start, in
  /// milliseconds.
  double steady_median_ms = 0;
  double steady_least_ms = 0;
  /// The same with the arrivals of one hour added at once.
  double burst_median_ms = 0;
  double burst_least_ms = 0;
};

/// Measures decisions on the state at the horizon of the two-year load, scaled by `factor`.
decision_cost MeasureDecisionCost(std::uint64_t seed, double factor);

}  // namespace hickorystall::benchmark
