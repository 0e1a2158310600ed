#include "decision_cost.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

#include "cluster_run.h"
#include "load.h"
#include "state/scheduling/decision.h"

namespace hickorystall::benchmark {
namespace {

/// Number of decisions that are timed for each median and minimum.
constexpr int kRepetitions = 41;
/// Arrivals of one hour at the two-year size, which has 1400 jobs a day.
constexpr double kArrivalsPerHour = 1400.0 / 24;

/// Sets the median and least time of a decision on `snapshot`, in milliseconds.
void Time(const state::scheduling_snapshot& snapshot, state::wall_time now, double& median, double& least) {
  std::vector<double> times;
  for (int i = 0; i < kRepetitions; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const state::scheduling_decision decision = Decide(snapshot, now);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    times.push_back(std::chrono::duration<double, std::milli>(elapsed).count());
  }
  std::sort(times.begin(), times.end());
  median = times[times.size() / 2];
  least = times.front();
}

}  // namespace

decision_cost MeasureDecisionCost(std::uint64_t seed, double factor) {
  const load input = MakeTwoYearLoad(seed, factor);
  cluster_run run(input, state::kDefaultPolicy);
  run.StopAtHorizon();
  run.Run(std::chrono::milliseconds(0));
  decision_cost cost;
  cost.factor = factor;
  state::scheduling_snapshot snapshot = run.snapshot();
  for (const auto& [id, job] : snapshot.jobs) {
    if (HoldsWorkers(job.state)) cost.tasks += job.spec.members;
    if (job.state == state::job_state::kQueued) ++cost.waiting;
  }
  Time(snapshot, input.horizon, cost.steady_median_ms, cost.steady_least_ms);
  const int arrivals = static_cast<int>(std::ceil(kArrivalsPerHour * factor));
  for (int i = 0; i < arrivals; ++i) {
    state::job_record job = input.jobs[i * input.jobs.size() / arrivals].record;
    job.id += "x";
    job.submitted_at = input.horizon;
    snapshot.jobs[job.id] = job;
  }
  Time(snapshot, input.horizon, cost.burst_median_ms, cost.burst_least_ms);
  return cost;
}

}  // namespace hickorystall::benchmark
