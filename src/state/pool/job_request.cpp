#include "state/pool/job_request.h"

namespace hickorystall::state::pool {
namespace {

// Bounds that no client of the design size reaches; they keep one job from exhausting a VM's memory.
constexpr int kMaxSteps = 100;
constexpr int kMaxTasksPerStep = 5000;
constexpr int kMaxOccurrences = 10000;

std::string ExplainInvalidStep(const step_request& step, int number) {
  if (step.task_count < 1 || step.task_count > kMaxTasksPerStep) return "count is out of range";
  const resources& need = step.need;
  if (need.cpu_millis < 0 || need.memory_mib < 0 || need.accelerators < 0) return "a size is negative";
  for (const int earlier : step.after) {
    if (earlier < 0 || earlier >= number) return "a step may depend on earlier steps only";
  }
  return "";
}

}  // namespace

std::string ExplainInvalid(const job_request& request) {
  if (request.steps.empty()) return "a job needs at least one step";
  if (request.steps.size() > kMaxSteps) return "a job has too many steps";
  if (request.occurrences < 0 || request.occurrences > kMaxOccurrences) return "occurrences are out of range";
  for (std::size_t i = 0; i < request.steps.size(); ++i) {
    std::string problem = ExplainInvalidStep(request.steps[i], static_cast<int>(i));
    if (!problem.empty()) return problem;
  }
  return "";
}

}  // namespace hickorystall::state::pool
