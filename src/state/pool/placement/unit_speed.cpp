#include "state/pool/placement/unit_speed.h"

#include <algorithm>
#include <vector>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// Returns the expected time of the longest chain of steps that depend on the step `number` of `job`.
milliseconds FollowingWork(const pool_state& state, const job_entry& job, int number) {
  const std::vector<step_request>& steps = job.submission.request.steps;
  const auto first = static_cast<std::size_t>(number);
  // Time from the end of the step to the end of each later one that depends on it; negative for the others.
  std::vector<milliseconds> ends(steps.size(), milliseconds(-1));
  ends[first] = milliseconds(0);
  milliseconds longest{0};
  for (std::size_t i = first + 1; i < steps.size(); ++i) {
    milliseconds start{-1};
    for (const int earlier : steps[i].after) start = std::max(start, ends[earlier]);
    if (start < milliseconds(0)) continue;
    ends[i] = start + state.ExpectedTime(job, steps[i]);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace

speed_need NeededSpeed(const pool_state& state, const waiting_step& step, boot_time now, bool is_remote,
                       const speed_range& speeds) {
  if (!speeds.differs) return {};
  const auto own = static_cast<double>(state.ExpectedTime(*step.job, *step.request).count());
  const double factor = is_remote ? state.settings().remote_run_factor : 1.0;
  unit_timing timing;
  timing.remaining_work = milliseconds(static_cast<milliseconds::rep>(own * factor)) +
                          FollowingWork(state, *step.job, step.number);
  timing.critical_path = step.critical_path;
  timing.objective = step.objective;
  timing.passed = now - (step.due - step.objective);
  return NeededSpeed(timing, speeds);
}

}  // namespace hickorystall::state::pool
