#include "coordination/pool/pool_codec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace hickorystall::coordination::pool {

using nlohmann::json;
using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// Size of a unit that has not begun, or is done, with its separator.
constexpr std::size_t kPlainUnitBytes = 2;
// Size of the field with the number of continuations.
constexpr std::size_t kRowCountBytes = 16;

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

// Units whose checkpoints are left out.
using unit_set = std::set<const work_unit*>;

// A unit is encoded as 0 before its first start, as 1 when it is done, and as an object in between. The
// object names the workers on which its latest start may run. `progress_budget` in state/pool/unit_queue.cpp
// bounds the size of these objects.
json EncodeUnit(const work_unit& unit, const unit_set& without_checkpoint) {
  if (unit.done) return 1;
  if (unit.last_run == 0) return 0;
  json row{{"run", unit.last_run}};
  if (!unit.failed_runs.empty()) row["failed_runs"] = unit.failed_runs;
  if (!unit.checkpoint.empty() && !without_checkpoint.contains(&unit)) row["checkpoint"] = unit.checkpoint;
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

// Returns whether the units of the occurrence with this number are stored.
bool IsStored(const job_entry& job, int number, const occurrence_progress& occurrence) {
  return !IsFinal(job.phase) && !job.finished_occurrences.contains(number) && HasBegun(occurrence);
}

// Returns the units whose checkpoints are stored, those with the shortest first.
std::vector<const work_unit*> UnitsWithCheckpoint(const job_entry& job) {
  std::vector<const work_unit*> units;
  for (const auto& [number, occurrence] : job.occurrences) {
    if (!IsStored(job, number, occurrence)) continue;
    for (const step_progress& step : occurrence.steps) {
      for (const work_unit& unit : step.units) {
        if (!unit.done && unit.last_run > 0 && !unit.checkpoint.empty()) units.push_back(&unit);
      }
    }
  }
  std::sort(units.begin(), units.end(), [](const work_unit* left, const work_unit* right) {
    return left->checkpoint.size() < right->checkpoint.size();
  });
  return units;
}

// Units whose checkpoints are left out, and the size of the other checkpoints.
struct checkpoint_selection {
  unit_set units;
  std::size_t kept_bytes = 0;
};

// Selects the longest checkpoints, so that the others take at most `max_bytes` and few units are affected.
checkpoint_selection SelectLongestCheckpoints(const std::vector<const work_unit*>& units,
                                              std::size_t max_bytes) {
  checkpoint_selection selection;
  for (const work_unit* unit : units) {
    const std::size_t size = unit->checkpoint.size();
    if (selection.units.empty() && selection.kept_bytes + size <= max_bytes) {
      selection.kept_bytes += size;
    } else {
      selection.units.insert(unit);
    }
  }
  return selection;
}

// The part of the progress that stays in the row of the progress table.
json EncodeHeader(const job_entry& job) {
  json header{{"queue", job.submission.queue},
              {"workspace", job.submission.workspace},
              {"phase", JobPhaseName(job.phase)}};
  if (job.submission.request.occurrences > 0) header["scheduled"] = true;
  return header;
}

// The part whose size depends on the units.
json EncodeBody(const job_entry& job, const unit_set& without_checkpoint) {
  json occurrences = json::object();
  for (const auto& [number, occurrence] : job.occurrences) {
    if (!IsStored(job, number, occurrence)) continue;
    json steps = json::array();
    for (const step_progress& step : occurrence.steps) {
      json units = json::array();
      for (const work_unit& unit : step.units) units.push_back(EncodeUnit(unit, without_checkpoint));
      steps.push_back(std::move(units));
    }
    occurrences[std::to_string(number)] = std::move(steps);
  }
  json body{{"occurrences", std::move(occurrences)}};
  if (!job.finished_occurrences.empty() && !IsFinal(job.phase)) body["finished"] = job.finished_occurrences;
  return body;
}

json Merge(json header, json body) {
  for (auto& [name, value] : body.items()) header[name] = std::move(value);
  return header;
}

// Stores `body` in continuations. Without "occurrences" in the row itself, a version that does not know of
// continuations takes the job as unreadable and leaves it alone.
void SplitIntoRows(json header, std::string_view body, std::size_t row_bytes, encoded_progress& encoded) {
  for (std::size_t begin = 0; begin < body.size(); begin += row_bytes)
    encoded.extra_rows.emplace_back(body.substr(begin, row_bytes));
  header["rows"] = encoded.extra_rows.size();
  encoded.row = header.dump();
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

progress_limits MakeProgressLimits(const pool_settings& settings) {
  return {settings.max_row_bytes, settings.MaxProgressBytes(), true};
}

absl::Status CheckStorable(const job_submission& submission, const progress_limits& limits) {
  const std::size_t row_bytes = EncodeSubmission(submission).size();
  if (row_bytes > limits.row_bytes) {
    return absl::InvalidArgumentError(absl::StrCat("the job takes ", row_bytes, " bytes to store; at most ",
                                                   limits.row_bytes, " are possible"));
  }
  job_entry job;
  job.submission = submission;
  const std::size_t header_bytes = EncodeHeader(job).dump().size() + kRowCountBytes;
  if (header_bytes > limits.row_bytes) {
    return absl::InvalidArgumentError("the names of the queue and the workspace are too long to be stored");
  }
  std::size_t tasks = 0;
  for (const step_request& step : submission.request.steps)
    tasks += static_cast<std::size_t>(step.task_count);
  const std::size_t max_tasks = limits.total_bytes / 2 / kPlainUnitBytes;
  if (tasks > max_tasks) {
    return absl::InvalidArgumentError(
        absl::StrCat("the job has ", tasks, " tasks; at most ", max_tasks, " are possible"));
  }
  return absl::OkStatus();
}

std::size_t encoded_progress::size() const {
  std::size_t size = row.size();
  for (const std::string& extra : extra_rows) size += extra.size();
  return size;
}

encoded_progress EncodeProgress(const job_entry& job, const progress_limits& limits) {
  const std::vector<const work_unit*> units = UnitsWithCheckpoint(job);
  std::size_t checkpoint_bytes = limits.has_checkpoints ? limits.total_bytes : 0;
  encoded_progress encoded;
  while (true) {
    const checkpoint_selection left_out = SelectLongestCheckpoints(units, checkpoint_bytes);
    encoded.dropped_checkpoints = static_cast<int>(left_out.units.size());
    encoded.row = Merge(EncodeHeader(job), EncodeBody(job, left_out.units)).dump();
    if (encoded.row.size() <= limits.row_bytes) return encoded;
    const std::string body = EncodeBody(job, left_out.units).dump();
    if (body.size() <= limits.total_bytes || left_out.units.size() == units.size()) {
      SplitIntoRows(EncodeHeader(job), body, limits.row_bytes, encoded);
      return encoded;
    }
    // The quotes and escapes of checkpoints and the other parts of the units also take space.
    const std::size_t excess = body.size() - limits.total_bytes;
    checkpoint_bytes = left_out.kept_bytes > excess ? left_out.kept_bytes - excess : 0;
  }
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

bool IsContinued(std::string_view text) {
  // The occurrences of such a row are in its continuations. Rows of cancellations have neither field.
  return text.find("\"rows\":") != std::string_view::npos &&
         text.find("\"occurrences\":") == std::string_view::npos;
}

absl::Status RestoreProgress(std::string_view text, std::string_view continuation, job_entry& job) {
  try {
    const json row = json::parse(text);
    const std::optional<job_phase> phase = ParseJobPhase(row.at("phase").get<std::string>());
    if (!phase) return absl::DataLossError("unknown phase");
    job.phase = *phase;
    job.extra_rows = row.value("rows", std::size_t{0});
    const json body = job.extra_rows > 0 ? json::parse(continuation) : row;
    job.finished_occurrences = body.value("finished", std::set<int>{});
    for (const auto& [number, steps] : body.at("occurrences").items()) {
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
