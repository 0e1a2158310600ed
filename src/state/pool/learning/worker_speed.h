#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>

namespace hickorystall::state::pool::learning {

/// Speed of a worker relative to the median of all workers, in classes that are far enough apart for
/// placement to prefer one over another.
enum class speed_class { kSlow, kNormal, kFast };

/// Number of enumerators of `speed_class`.
inline constexpr int kSpeedClasses = 3;

/// What is known of the speed of a worker.
struct worker_speed {
  /// Multiple of the speed of the median worker; 1 while unknown.
  double factor = 1.0;
  /// kNormal unless the difference from the median worker is certain.
  speed_class grade = speed_class::kNormal;
};

/// Returns the time that work takes on a worker of `speed` if it takes `time` on one of average speed.
inline std::chrono::milliseconds TimeAtSpeed(std::chrono::milliseconds time, const worker_speed& speed) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::llround(static_cast<double>(time.count()) / speed.factor)));
}

}  // namespace hickorystall::state::pool::learning
