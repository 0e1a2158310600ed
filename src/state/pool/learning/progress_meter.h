#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "state/pool/pool_time.h"

namespace hickorystall::state::pool::learning {

/// Time that a task takes in all on its worker, with the standard deviation of its logarithm that is due to
/// the measurement.
struct measured_time {
  std::chrono::duration<double> time{0};
  double log_error = 0;
};

/// Measures how long one run of a task would take in all, from its progress. A task needs 100 to 600 ms to
/// start or resume, so the time is taken between two readings of a task that has begun to work. Gives at most
/// one measurement for a run.
class progress_meter {
 public:
  progress_meter() = default;
  /// `starts_at_zero` tells that the run does all of the work; a reading above 0 then shows that it works.
  explicit progress_meter(bool starts_at_zero) : starts_at_zero_(starts_at_zero) {}

  /// Adds a reading of the progress, taken at `clock` of the worker and `elapsed` after the start of the run.
  std::optional<measured_time> Add(int percent, worker_time clock, std::chrono::milliseconds elapsed);
  /// The work has ended between the latest reading and `elapsed` after the start.
  std::optional<measured_time> End(std::chrono::milliseconds elapsed);
  /// Returns the measurement of the run; empty if there is none.
  std::optional<measured_time> result() const;

 private:
  static constexpr std::int8_t kNone = -1;

  // Returns the only measurement of the run, or nullopt if it is too inaccurate.
  std::optional<measured_time> Finish(double time_ms, double log_error);

  // Planning passes over all units, each of which has a meter, so the members are small.

  // Clock and percent at the first reading of a task that had begun to work.
  worker_time working_clock_{};
  // Duration from the start to the latest reading, in ms.
  std::int32_t last_elapsed_ms_ = 0;
  // The result; 0 while there is none.
  float result_ms_ = 0;
  float result_error_ = 0;
  // kNone while there is no such reading.
  std::int8_t first_percent_ = kNone;
  std::int8_t working_percent_ = kNone;
  bool starts_at_zero_ = false;
  bool is_finished_ = false;
};

}  // namespace hickorystall::state::pool::learning
