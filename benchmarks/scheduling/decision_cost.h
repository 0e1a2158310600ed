#pragma once

#include <cstdint>

namespace hickorystall::benchmark {

/// Cost of one decision at a part of the two-year size.
struct decision_cost {
  /// Size over the two-year size.
  double factor = 0;
  /// Tasks that run in the snapshot.
  int tasks = 0;
  /// Jobs that wait in the snapshot.
  int waiting = 0;
  /// Median and least real time of a decision in milliseconds, with nothing to start.
  double steady_median_ms = 0;
  double steady_least_ms = 0;
  /// The same with as many arrivals at once as one hour brings.
  double burst_median_ms = 0;
  double burst_least_ms = 0;
};

/// Measures decisions on the state of the two-year load, scaled by `factor`, at its horizon.
decision_cost MeasureDecisionCost(std::uint64_t seed, double factor);

}  // namespace hickorystall::benchmark
