#include "measures.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace hickorystall::benchmark {
namespace {

/// Urgent and guaranteed jobs must start within this time.
constexpr double kUrgentStartSeconds = 4.3;

double Seconds(std::chrono::milliseconds time) { return static_cast<double>(time.count()) / 1000.0; }

/// Returns the nearest-rank percentile of `values` at the fraction `part`; 0 when there are none.
double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const double rank = std::ceil(part * static_cast<double>(values.size())) - 1;
  return values[static_cast<std::size_t>(std::max(rank, 0.0))];
}

/// Longest times in the queue in a workspace, in seconds.
struct longest_waits {
  double gang = 0;
  double single = 0;
};

/// Returns the seconds until the first start of a job, or until its end when it never started; 1e9 when it
/// never ended either.
double WaitOf(const job_outcome& outcome) {
  if (outcome.first_wait.count() >= 0) return Seconds(outcome.first_wait);
  return outcome.end == state::job_state::kQueued ? 1e9 : Seconds(outcome.completion);
}

/// Returns the total seconds in the queue of a finished job; for any other job, its wait until the first
/// start or end.
double QueuedOf(const job_outcome& outcome) {
  return outcome.end == state::job_state::kFinished ? Seconds(outcome.queued) : WaitOf(outcome);
}

/// Adds a job that is not impossible to the counts.
void Count(const job_outcome& outcome, run_measures& result) {
  const state::job_spec& spec = outcome.job->record.spec;
  const bool finished = outcome.end == state::job_state::kFinished;
  const bool refused = outcome.end == state::job_state::kRefused;
  result.finished += finished ? 1 : 0;
  result.refused += refused ? 1 : 0;
  result.unfinished += outcome.end == state::job_state::kQueued ? 1 : 0;
  result.guaranteed += outcome.guaranteed ? 1 : 0;
  const bool cancelled = outcome.end == state::job_state::kCancelled;
  if (outcome.guaranteed && !cancelled && WaitOf(outcome) > kUrgentStartSeconds) ++result.guarantees_late;
  if (spec.deadline.count() > 0 && (refused || (finished && outcome.completion > spec.deadline)))
    ++result.deadlines_missed;
}

/// Returns the worst ratio of all workspaces. A single-accelerator wait below the bound for urgent jobs
/// counts as that bound, to avoid a division by zero for an idle workspace.
double WorstRatio(const std::map<std::string, longest_waits>& waits) {
  double worst = 0;
  for (const auto& [name, longest] : waits) {
    if (longest.gang > 0)
      worst = std::max(worst, longest.gang / std::max(longest.single, kUrgentStartSeconds));
  }
  return worst;
}

}  // namespace

run_measures Measure(const run_result& run) {
  run_measures result;
  std::vector<double> urgent;
  std::map<std::string, longest_waits> waits;
  double completion = 0;
  for (const job_outcome& outcome : run.outcomes) {
    if (outcome.job->impossible) {
      if (outcome.end != state::job_state::kRefused) ++result.impossible_not_refused;
      continue;
    }
    Count(outcome, result);
    if (outcome.end == state::job_state::kFinished) completion += Seconds(outcome.completion);
    if (outcome.end == state::job_state::kCancelled || outcome.end == state::job_state::kRefused) continue;
    const state::job_spec& spec = outcome.job->record.spec;
    if (spec.urgent) urgent.push_back(WaitOf(outcome));
    longest_waits& longest = waits[outcome.job->record.workspace];
    if (spec.members > 1) longest.gang = std::max(longest.gang, QueuedOf(outcome));
    if (spec.members == 1 && spec.accelerators == 1 && !spec.urgent)
      longest.single = std::max(longest.single, QueuedOf(outcome));
    result.longest_wait_s = std::max(result.longest_wait_s, QueuedOf(outcome));
  }
  std::vector<double> decisions;
  for (std::chrono::nanoseconds time : run.decision_times)
    decisions.push_back(static_cast<double>(time.count()) / 1e6);
  result.urgent_p99_s = Percentile(urgent, 0.99);
  result.mean_completion_s = result.finished == 0 ? 0 : completion / result.finished;
  result.fragmentation = run.fragmented / run.capacity;
  result.gang_wait_ratio = WorstRatio(waits);
  result.lost = run.work_done == 0 ? 0 : run.work_lost / run.work_done;
  result.utilisation = run.busy / run.capacity;
  result.failures = run.failures;
  result.reclaims = run.reclaims;
  result.decision_median_ms = Percentile(decisions, 0.5);
  result.decision_max_ms = Percentile(decisions, 1);
  return result;
}

}  // namespace hickorystall::benchmark
