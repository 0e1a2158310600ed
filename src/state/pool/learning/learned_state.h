#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/pool/learning/run_time_model.h"
#include "state/pool/learning/worker_speed.h"

namespace hickorystall::state::pool::learning {

/// What was learned of the speed of a worker.
struct learned_worker {
  std::string id;
  /// Incarnation that it holds for.
  std::int64_t incarnation = 0;
  double log_speed = 0;
  /// Standard deviation of `log_speed`.
  double deviation = 0;
  /// Number of runs that it is based on.
  int runs = 0;
  /// Class at the time of the export.
  speed_class grade = speed_class::kNormal;
};

/// What a pool has learned, for storing it.
struct learned_state {
  /// The group with the latest run first.
  std::vector<learned_group> groups;
  /// Empty while all workers count as equally fast: their state is that of unknown workers.
  std::vector<learned_worker> workers;
};

/// Returns whether `current` would lead to other decisions than `stored`, beyond small differences of times.
bool DiffersMaterially(const learned_state& current, const learned_state& stored);

}  // namespace hickorystall::state::pool::learning
