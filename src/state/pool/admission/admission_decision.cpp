#include "state/pool/admission/admission_decision.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace hickorystall::state::pool::admission {

using std::chrono::milliseconds;

namespace {

// Returns the declared length of the critical path.
milliseconds DeclaredPath(const job_request& request) {
  std::vector<milliseconds> ends(request.steps.size());
  milliseconds longest{0};
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    milliseconds start{0};
    for (const int earlier : request.steps[i].after) start = std::max(start, ends[earlier]);
    ends[i] = start + request.steps[i].estimate;
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

// Returns whether a unit of a first step may fit into what is free.
bool FitsFree(const job_request& request, const service_projection& projection) {
  return std::any_of(request.steps.begin(), request.steps.end(), [&](const step_request& step) {
    if (!step.after.empty() || !projection.largest_free.Covers(step.need)) return false;
    const int tasks = step.gang ? step.task_count : 1;
    resources unit;
    for (int i = 0; i < tasks; ++i) unit += step.need;
    return projection.total_free.Covers(unit);
  });
}

// Returns whether the job can start nothing without accelerators.
bool StartsWithAccelerators(const job_request& request) {
  return std::all_of(request.steps.begin(), request.steps.end(), [](const step_request& step) {
    return !step.after.empty() || step.need.accelerators > 0;
  });
}

// Distributes ids evenly over [0, `range`]; equal on all VMs (FNV-1a).
milliseconds SpreadOf(std::string_view id, milliseconds range) {
  std::uint64_t hash = 14695981039346656037u;
  for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return milliseconds(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(range.count() + 1)));
}

milliseconds Scale(milliseconds time, double factor) {
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace

admission_decision DecideAdmission(const admission_projection& projection, milliseconds age,
                                   const job_submission& job, const admission_rules& rules) {
  admission_decision decision;
  const service_projection* service = projection.FindService(job.service);
  // A scheduled job does not start now, so the present queue says nothing about it.
  if (service == nullptr || age > rules.max_age || job.request.occurrences > 0) return decision;
  const projected_wait* entry = service->FindWait(job.priority);
  if (entry == nullptr || FitsFree(job.request, *service)) return decision;
  const auto& beyond = projection.beyond_guarantee;
  if (job.priority == 0 && std::find(beyond.begin(), beyond.end(), job.workspace) == beyond.end())
    return decision;
  // A declaration that is far too short must not make the objective too short.
  const milliseconds path = std::max(DeclaredPath(job.request), entry->typical_time);
  const milliseconds objective = Scale(path, job.stretch) + job.target_latency;
  // Tasks without accelerators do not queue for them.
  decision.wait = StartsWithAccelerators(job.request) ? entry->LongestWait() : entry->core_wait;
  decision.limit = std::max(milliseconds(0), Scale(objective, rules.objective_factor) - path);
  decision.refused = Scale(decision.wait, rules.optimistic_share) > decision.limit;
  if (!decision.refused) return decision;
  // The queue ahead shrinks by at most a second each second.
  const milliseconds excess = decision.wait - Scale(decision.limit, 1 / rules.optimistic_share);
  const milliseconds retry = std::clamp(excess, rules.min_retry, rules.max_retry);
  decision.retry_after = retry + SpreadOf(job.id, retry);
  return decision;
}

}  // namespace hickorystall::state::pool::admission
