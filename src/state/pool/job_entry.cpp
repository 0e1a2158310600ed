#include "state/pool/job_entry.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace hickorystall::state::pool {
namespace {

struct phase_name {
  job_phase phase;
  std::string_view name;
};
constexpr std::array kPhaseNames{
    phase_name{job_phase::kQueued, "queued"},       phase_name{job_phase::kRunning, "running"},
    phase_name{job_phase::kCompleted, "completed"}, phase_name{job_phase::kFailed, "failed"},
    phase_name{job_phase::kCancelled, "cancelled"},
};

bool ParseNumber(std::string_view text, int& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

}  // namespace

std::string_view JobPhaseName(job_phase phase) {
  for (const phase_name& entry : kPhaseNames) {
    if (entry.phase == phase) return entry.name;
  }
  return "unknown";
}

std::optional<job_phase> ParseJobPhase(std::string_view name) {
  for (const phase_name& entry : kPhaseNames) {
    if (entry.name == name) return entry.phase;
  }
  return std::nullopt;
}

bool IsFinal(job_phase phase) {
  return phase == job_phase::kCompleted || phase == job_phase::kFailed || phase == job_phase::kCancelled;
}

bool work_unit::IsIdle() const {
  return std::all_of(members.begin(), members.end(),
                     [](const unit_member& member) { return member.phase == run_phase::kIdle; });
}

bool occurrence_progress::IsDone() const {
  return std::all_of(steps.begin(), steps.end(),
                     [](const step_progress& step) { return step.open_units == 0; });
}

bool job_entry::HasActiveUnits() const {
  for (const auto& [number, occurrence] : occurrences) {
    for (const step_progress& step : occurrence.steps) {
      for (const work_unit& unit : step.units) {
        if (!unit.IsIdle()) return true;
      }
    }
  }
  return false;
}

std::string TaskName(std::string_view job, int occurrence, int step, int index) {
  std::string name(job);
  for (const int part : {occurrence, step, index}) {
    name += '.';
    name += std::to_string(part);
  }
  return name;
}

std::optional<task_name_parts> ParseTaskName(std::string_view name) {
  task_name_parts parts;
  for (int* part : {&parts.index, &parts.step, &parts.occurrence}) {
    const std::size_t dot = name.rfind('.');
    if (dot == std::string_view::npos || !ParseNumber(name.substr(dot + 1), *part)) return std::nullopt;
    name = name.substr(0, dot);
  }
  parts.job = std::string(name);
  return parts;
}

occurrence_progress MakeOccurrence(const job_request& request) {
  occurrence_progress occurrence;
  for (const step_request& step : request.steps) {
    step_progress progress;
    const int unit_count = step.gang ? 1 : step.task_count;
    const int unit_size = step.gang ? step.task_count : 1;
    for (int i = 0; i < unit_count; ++i) {
      work_unit unit;
      unit.first_task = i * unit_size;
      unit.members.resize(static_cast<std::size_t>(unit_size));
      progress.units.push_back(std::move(unit));
    }
    progress.open_units = unit_count;
    occurrence.steps.push_back(std::move(progress));
  }
  return occurrence;
}

}  // namespace hickorystall::state::pool
