#pragma once

#include <algorithm>
#include <chrono>
#include <string>

#include "state/pool/learning/worker_speed.h"

namespace hickorystall::state::pool {

/// Returns the speed that placement assumes for a worker: 1 for one of normal speed, whose measured
/// difference is not certain.
inline double PlacementSpeed(const learning::worker_speed& speed) {
  return speed.grade == learning::speed_class::kNormal ? 1.0 : speed.factor;
}

/// Speeds of a group of workers, as far as placement tells them apart.
struct speed_range {
  /// True if not all workers have normal speed. Otherwise speeds have no effect on placement.
  bool differs = false;
  double highest = 1.0;

  void Add(const learning::worker_speed& speed) {
    differs = differs || speed.grade != learning::speed_class::kNormal;
    highest = std::max(highest, PlacementSpeed(speed));
  }
};

/// Time left to a unit and to the steps after it, on workers of normal speed, and the objective of its job.
struct unit_timing {
  /// Expected time of the unit and of the longest chain of steps that depend on it.
  std::chrono::milliseconds remaining_work{0};
  /// Expected length of the critical path of the whole job.
  std::chrono::milliseconds critical_path{0};
  /// Time within which the job must end, counted from its acceptance or due time.
  std::chrono::milliseconds objective{0};
  /// Time passed since then.
  std::chrono::milliseconds passed{0};
};

/// Speed that a unit needs of its workers.
struct speed_need {
  /// False if the speeds of the workers have no effect on the placement.
  bool by_speed = false;
  /// Lowest speed of a worker that is fast enough.
  double lowest = 0.0;
  /// True if the job has little slack even without any wait, so that the unit goes to the fastest workers.
  bool is_urgent = false;
};

/// Returns the lowest speed at which a unit ends in time, or within the time after which a late job is of no
/// value if no worker of `speeds` is fast enough for the former. A unit that can meet neither needs no speed.
speed_need NeededSpeed(const unit_timing& timing, const speed_range& speeds);

/// Speeds with which a unit is started, for the log.
struct start_speeds {
  /// Lowest speed of a worker that is fast enough.
  double needed = 0.0;
  /// Speed of the slowest member's worker; 0 where speeds have no effect on placement.
  double slowest = 0.0;

  bool IsTooSlow() const { return slowest > 0.0 && slowest < needed; }
};

/// Returns `speeds` as fields of a log record, or an empty text where speeds have no effect on placement.
std::string DescribeSpeeds(const start_speeds& speeds);

/// Number of tiers that `SpeedTier` tells apart.
inline constexpr int kSpeedTiers = 7;
/// Lowest tier of the workers that are too slow.
inline constexpr int kFirstSlowTier = 4;

/// Returns the rank of workers of `speed` for a unit with `need`; the lowest is tried first. Workers that are
/// too slow come last, the fastest of them first. Of the others, an urgent unit prefers the fastest class.
/// Any other unit prefers workers whose speed is unknown, so that it becomes known, and then the slowest
/// class, so that the fast workers stay free. The rank is 0 for all workers if the need is not by speed.
int SpeedTier(const speed_need& need, const learning::worker_speed& speed);

}  // namespace hickorystall::state::pool
