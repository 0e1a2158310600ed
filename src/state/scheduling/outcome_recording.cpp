#include "state/scheduling/outcome_recording.h"

#include <algorithm>
#include <cmath>

namespace hickorystall::state {
namespace {

/// Length of the first probation; each further failure doubles it.
constexpr std::chrono::milliseconds kFirstProbation{30000};
/// Maximum number of doublings, which limits a probation to about half an hour.
constexpr int kMaxDoublings = 6;
/// Minimum weight of the newest run. With it the mean follows a change within about ten runs.
constexpr double kMinWeight = 0.1;

}  // namespace

void RecordOutcome(worker_status& worker, const job_record& job, bool succeeded, wall_time now) {
  if (succeeded) {
    worker.failures_in_row = 0;
    worker.probation_until = {};
    return;
  }
  if (job.failures >= 2) return;
  ++worker.failures_in_row;
  const int doublings = std::min(worker.failures_in_row - kFailuresBeforeProbation, kMaxDoublings);
  if (doublings >= 0) worker.probation_until = now + kFirstProbation * (1 << doublings);
}

void LearnRunTime(learned_kind& learned, std::chrono::milliseconds declared,
                  std::chrono::milliseconds actual) {
  if (declared.count() <= 0 || actual.count() <= 0) return;
  ++learned.samples;
  const double weight = std::max(kMinWeight, 1.0 / learned.samples);
  const double log_ratio =
      std::log(static_cast<double>(actual.count()) / static_cast<double>(declared.count()));
  learned.run_time_ratio = std::exp((1 - weight) * std::log(learned.run_time_ratio) + weight * log_ratio);
}

}  // namespace hickorystall::state
