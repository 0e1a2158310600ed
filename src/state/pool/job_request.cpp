#include "state/pool/job_request.h"

namespace hickorystall::state::pool {
namespace {

// Limits that keep one job from exhausting the memory of a VM. Clients of the supported size stay far below
// them.
constexpr int kMaxSteps = 100;
constexpr int kMaxTasksPerStep = 5000;
constexpr int kMaxOccurrences = 10000;

std::string ExplainInvalidStep(const step_request& step, int number) {
  if (step.task_count < 1 || step.task_count > kMaxTasksPerStep)
    return "the task count of a step is out of range";
  const resources& need = step.need;
  if (need.cpu_millis < 0 || need.memory_mib < 0 || need.accelerators < 0)
    return "a resource need of a step is negative";
  if (step.max_per_worker < 0) return "the limit of tasks per worker is negative";
  if (step.estimate < std::chrono::milliseconds(0)) return "the estimate of a step is negative";
  for (const int earlier : step.after) {
    if (earlier < 0 || earlier >= number) return "a step may depend only on earlier steps";
  }
  return "";
}

}  // namespace

std::string ExplainInvalid(const job_request& request) {
  if (request.steps.empty()) return "a job needs at least one step";
  if (request.steps.size() > kMaxSteps) return "a job has too many steps";
  if (request.occurrences < 0 || request.occurrences > kMaxOccurrences)
    return "the number of occurrences is out of range";
  if (request.interval < std::chrono::milliseconds(0)) return "the interval between occurrences is negative";
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    std::string problem = ExplainInvalidStep(request.steps[i], static_cast<int>(i));
    if (!problem.empty()) return problem;
  }
  return "";
}

}  // namespace hickorystall::state::pool
