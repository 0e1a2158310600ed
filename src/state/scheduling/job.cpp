#include "state/scheduling/job.h"

#include <array>
#include <utility>

namespace hickorystall::state {
namespace {

constexpr std::array<std::pair<job_state, std::string_view>, 8> kStateNames{{
    {job_state::kQueued, "queued"},
    {job_state::kStarting, "starting"},
    {job_state::kRunning, "running"},
    {job_state::kReclaiming, "reclaiming"},
    {job_state::kFinished, "finished"},
    {job_state::kFailed, "failed"},
    {job_state::kCancelled, "cancelled"},
    {job_state::kRefused, "refused"},
}};

}  // namespace

std::string_view JobStateName(job_state value) { return kStateNames[static_cast<std::size_t>(value)].second; }

std::optional<job_state> ParseJobState(std::string_view name) {
  for (const auto& [state, state_name] : kStateNames) {
    if (state_name == name) return state;
  }
  return std::nullopt;
}

bool IsFinal(job_state value) { return value >= job_state::kFinished; }

bool HoldsWorkers(job_state value) {
  return value == job_state::kStarting || value == job_state::kRunning || value == job_state::kReclaiming;
}

std::string TaskLeaseId(std::string_view job_id, int attempt, int member) {
  return std::string(job_id) + "." + std::to_string(attempt) + "." + std::to_string(member);
}

}  // namespace hickorystall::state
