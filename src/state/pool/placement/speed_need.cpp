#include "state/pool/placement/speed_need.h"

#include <array>
#include <cstdio>
#include <limits>

#include "state/pool/unit_queue.h"

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// Factor by which a worker is faster than the expected times require. It covers the spread of the tasks of
// one step, the slowest of which ends a gang, and the time until the end is listed.
constexpr double kSpeedMargin = 1.15;

// Needed speed from which a job has little slack: a worker of the slow class, at about 0.6 of the normal
// speed, would make it late.
constexpr double kUrgentSpeed = 0.6;

// Returns the speed at which `work` takes `time`; infinite if no time is left.
double RequiredSpeed(milliseconds work, milliseconds time) {
  if (time <= milliseconds(0)) return std::numeric_limits<double>::infinity();
  return static_cast<double>(work.count()) / static_cast<double>(time.count());
}

}  // namespace

speed_need NeededSpeed(const unit_timing& timing, const speed_range& speeds) {
  if (!speeds.differs) return {};
  speed_need need{true, 0.0, false};
  const double in_time = RequiredSpeed(timing.remaining_work, timing.objective - timing.passed);
  if (in_time <= speeds.highest) {
    need.lowest = std::min(in_time * kSpeedMargin, speeds.highest);
    const double without_wait = RequiredSpeed(timing.critical_path, timing.objective) * kSpeedMargin;
    need.is_urgent = std::min(need.lowest, without_wait) >= kUrgentSpeed;
    return need;
  }
  const milliseconds late = kLateObjectiveFactor * timing.objective - timing.passed;
  const double before_lapse = RequiredSpeed(timing.remaining_work, late);
  if (before_lapse <= speeds.highest) need.lowest = std::min(before_lapse * kSpeedMargin, speeds.highest);
  return need;
}

std::string DescribeSpeeds(const start_speeds& speeds) {
  if (speeds.slowest <= 0.0) return "";
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "need_speed=%.2f slowest_speed=%.2f", speeds.needed,
                speeds.slowest);
  return text.data();
}

int SpeedTier(const speed_need& need, const learning::worker_speed& speed) {
  if (!need.by_speed) return 0;
  const int below_fast = static_cast<int>(learning::speed_class::kFast) - static_cast<int>(speed.grade);
  if (PlacementSpeed(speed) < need.lowest) return kFirstSlowTier + below_fast;
  if (need.is_urgent) return below_fast;
  const bool is_unknown = speed.grade == learning::speed_class::kNormal && speed.factor == 1.0;
  return is_unknown ? 0 : 1 + static_cast<int>(speed.grade);
}

}  // namespace hickorystall::state::pool
