#include "coordination/pool/pool_codec.h"

#include <nlohmann/json.hpp>

namespace hickorystall::coordination::pool {

using nlohmann::json;
using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

json EncodeStep(const step_request& step) {
  json row{{"tasks", step.task_count},
           {"cpu_millis", step.need.cpu_millis},
           {"memory_mib", step.need.memory_mib},
           {"accelerators", step.need.accelerators},
           {"estimate_ms", step.estimate.count()}};
  if (!step.after.empty()) row["after"] = step.after;
  if (step.checkpointable) row["checkpointable"] = true;
  if (step.gang) row["gang"] = true;
  if (step.same_rack) row["same_rack"] = true;
  if (!step.required_label.empty()) row["label"] = step.required_label;
  if (!step.data_rack.empty()) row["data_rack"] = step.data_rack;
  if (step.max_per_worker > 0) row["max_per_worker"] = step.max_per_worker;
  return row;
}

step_request DecodeStep(const json& row) {
  step_request step;
  step.task_count = row.at("tasks");
  step.need = {row.at("cpu_millis"), row.at("memory_mib"), row.at("accelerators")};
  step.estimate = milliseconds(row.at("estimate_ms").get<std::int64_t>());
  step.after = row.value("after", std::vector<int>{});
  step.checkpointable = row.value("checkpointable", false);
  step.gang = row.value("gang", false);
  step.same_rack = row.value("same_rack", false);
  step.required_label = row.value("label", "");
  step.data_rack = row.value("data_rack", "");
  step.max_per_worker = row.value("max_per_worker", 0);
  return step;
}

// A unit is encoded as 0 before its first start, as 1 when it is done, and as an object in between. The
// object names the workers on which its latest start may run. `progress_budget` in state/pool/unit_queue.cpp
// bounds the size of these objects.
json EncodeUnit(const work_unit& unit) {
  if (unit.done) return 1;
  if (unit.last_run == 0) return 0;
  json row{{"run", unit.last_run}};
  if (!unit.failed_runs.empty()) row["failed_runs"] = unit.failed_runs;
  if (!unit.checkpoint.empty()) row["checkpoint"] = unit.checkpoint;
  std::set<std::string> workers = unit.unresolved_workers;
  for (const unit_member& member : unit.members) {
    if (member.phase != run_phase::kIdle) workers.insert(member.worker);
  }
  if (!workers.empty()) row["workers"] = workers;
  return row;
}

void RestoreUnit(const json& row, step_progress& step, work_unit& unit) {
  if (row.is_number()) {
    unit.done = row.get<int>() == 1;
    if (unit.done) --step.open_units;
    return;
  }
  unit.last_run = row.at("run");
  unit.failed_runs = row.value("failed_runs", std::set<std::int64_t>{});
  unit.checkpoint = row.value("checkpoint", "");
  unit.unresolved_workers = row.value("workers", std::set<std::string>{});
}

void RestoreOccurrence(const json& steps, occurrence_progress& occurrence) {
  for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
    auto& units = occurrence.steps[step].units;
    for (std::size_t unit = 0; unit < units.size(); ++unit) {
      RestoreUnit(steps.at(step).at(unit), occurrence.steps[step], units[unit]);
    }
  }
}

// Returns whether a unit of `occurrence` has begun. An occurrence without one is created again when it is
// due.
bool HasBegun(const occurrence_progress& occurrence) {
  for (const step_progress& step : occurrence.steps) {
    for (const work_unit& unit : step.units) {
      if (unit.done || unit.last_run > 0) return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeSubmission(const job_submission& submission) {
  json steps = json::array();
  for (const step_request& step : submission.request.steps) steps.push_back(EncodeStep(step));
  json row{{"workspace", submission.workspace},
           {"queue", submission.queue},
           {"service", submission.service},
           {"priority", submission.priority},
           {"attempts", submission.max_attempts},
           {"stretch", submission.stretch},
           {"target_ms", submission.target_latency.count()},
           {"accepted_ms", submission.accepted_at.time_since_epoch().count()},
           {"payload", submission.request.payload},
           {"steps", std::move(steps)}};
  if (submission.request.occurrences > 0) {
    row["occurrences"] = submission.request.occurrences;
    row["first_due_ms"] = submission.request.first_due.count();
    row["interval_ms"] = submission.request.interval.count();
  }
  return row.dump();
}

absl::StatusOr<job_submission> DecodeSubmission(std::string_view id, std::string_view text) {
  try {
    const json row = json::parse(text);
    job_submission submission;
    submission.id = std::string(id);
    submission.workspace = row.at("workspace");
    submission.queue = row.at("queue");
    submission.service = row.at("service");
    submission.priority = row.at("priority");
    submission.max_attempts = row.at("attempts");
    submission.stretch = row.at("stretch");
    submission.target_latency = milliseconds(row.at("target_ms").get<std::int64_t>());
    submission.accepted_at = unix_time(milliseconds(row.at("accepted_ms").get<std::int64_t>()));
    submission.request.payload = row.at("payload");
    for (const json& step : row.at("steps")) submission.request.steps.push_back(DecodeStep(step));
    submission.request.occurrences = row.value("occurrences", 0);
    submission.request.first_due = milliseconds(row.value("first_due_ms", std::int64_t{0}));
    submission.request.interval = milliseconds(row.value("interval_ms", std::int64_t{0}));
    return submission;
  } catch (const json::exception& error) {
    return absl::DataLossError(error.what());
  }
}

std::string EncodeProgress(const job_entry& job) {
  json occurrences = json::object();
  for (const auto& [number, occurrence] : job.occurrences) {
    if (job.finished_occurrences.contains(number) || !HasBegun(occurrence)) continue;
    json steps = json::array();
    for (const step_progress& step : occurrence.steps) {
      json units = json::array();
      for (const work_unit& unit : step.units) units.push_back(EncodeUnit(unit));
      steps.push_back(std::move(units));
    }
    occurrences[std::to_string(number)] = std::move(steps);
  }
  json row{{"queue", job.submission.queue},
           {"workspace", job.submission.workspace},
           {"phase", JobPhaseName(job.phase)},
           {"occurrences", IsFinal(job.phase) ? json::object() : std::move(occurrences)}};
  if (job.submission.request.occurrences > 0) row["scheduled"] = true;
  if (!job.finished_occurrences.empty()) row["finished"] = job.finished_occurrences;
  return row.dump();
}

absl::StatusOr<stored_progress> DecodeProgress(std::string_view text) {
  try {
    const json row = json::parse(text);
    const std::optional<job_phase> phase = ParseJobPhase(row.at("phase").get<std::string>());
    if (!phase) return absl::DataLossError("unknown phase");
    stored_progress progress;
    progress.queue = row.at("queue");
    progress.workspace = row.at("workspace");
    progress.phase = *phase;
    progress.is_scheduled = row.value("scheduled", false);
    return progress;
  } catch (const json::exception& error) {
    return absl::DataLossError(error.what());
  }
}

absl::Status RestoreProgress(std::string_view text, job_entry& job) {
  try {
    const json row = json::parse(text);
    const std::optional<job_phase> phase = ParseJobPhase(row.at("phase").get<std::string>());
    if (!phase) return absl::DataLossError("unknown phase");
    job.phase = *phase;
    job.finished_occurrences = row.value("finished", std::set<int>{});
    for (const auto& [number, steps] : row.at("occurrences").items()) {
      occurrence_progress occurrence = MakeOccurrence(job.submission.request);
      RestoreOccurrence(steps, occurrence);
      job.occurrences[std::stoi(number)] = std::move(occurrence);
    }
    return absl::OkStatus();
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
}

}  // namespace hickorystall::coordination::pool
