#include "state/pool/learning/progress_meter.h"

#include <algorithm>
#include <cmath>

namespace hickorystall::state::pool::learning {

using std::chrono::milliseconds;

namespace {

// Below this progress a task may have been starting for most of the time.
constexpr int kMinPercent = 3;
// Progress is listed in whole percent, so a difference of 10 has an error of 4%.
constexpr int kMinDifference = 10;
constexpr double kPercentError = 0.41;
// Error of the worker's progress and clock themselves.
constexpr double kReadingError = 0.03;
// Mean and standard deviation of the time that a task takes to start.
constexpr double kStartMs = 350;
constexpr double kStartErrorMs = 145;
// Measurements that are less accurate than this say too little.
constexpr double kMaxError = 0.35;

// Longer runs are measured as if they had lasted for this.
constexpr milliseconds kMaxElapsed = std::chrono::hours(24);

double Millis(milliseconds time) { return static_cast<double>(time.count()); }

}  // namespace

std::optional<measured_time> progress_meter::Add(int percent, worker_time clock, milliseconds elapsed) {
  if (is_finished_ || percent < 0) return std::nullopt;
  // A member of a gang waits at 100 for the others, so nothing is known from then on.
  if (percent >= 100) return End(elapsed);
  last_elapsed_ms_ = static_cast<std::int32_t>(std::clamp(elapsed, milliseconds(0), kMaxElapsed).count());
  if (percent < kMinPercent) return std::nullopt;
  const auto short_percent = static_cast<std::int8_t>(percent);
  if (first_percent_ == kNone) first_percent_ = short_percent;
  if (working_percent_ == kNone) {
    if (!starts_at_zero_ && percent == first_percent_) return std::nullopt;
    working_percent_ = short_percent;
    working_clock_ = clock;
    return std::nullopt;
  }
  const int difference = percent - working_percent_;
  const double time_ms = Millis(clock - working_clock_);
  if (difference < kMinDifference || time_ms <= 0) return std::nullopt;
  return Finish(time_ms * 100 / difference, kPercentError / difference + kReadingError);
}

std::optional<measured_time> progress_meter::End(milliseconds elapsed) {
  if (is_finished_ || !starts_at_zero_) {
    is_finished_ = true;
    return std::nullopt;
  }
  const double earliest = std::max(0.0, last_elapsed_ms_ - kStartMs);
  const double latest = Millis(elapsed) - kStartMs;
  const double time_ms = (earliest + latest) / 2;
  // The end is evenly distributed over the interval.
  const double error_ms = std::hypot((latest - earliest) / std::sqrt(12.0), kStartErrorMs);
  is_finished_ = true;
  if (time_ms <= 0) return std::nullopt;
  return Finish(time_ms, error_ms / time_ms);
}

std::optional<measured_time> progress_meter::Finish(double time_ms, double log_error) {
  is_finished_ = true;
  if (log_error > kMaxError) return std::nullopt;
  result_ms_ = static_cast<float>(time_ms);
  result_error_ = static_cast<float>(log_error);
  return result();
}

std::optional<measured_time> progress_meter::result() const {
  if (result_ms_ <= 0) return std::nullopt;
  return measured_time{std::chrono::duration<double, std::milli>(result_ms_), result_error_};
}

}  // namespace hickorystall::state::pool::learning
