#include "coordination/pool/pool_dump.h"

#include <nlohmann/json.hpp>

namespace hickorystall::coordination::pool {

using nlohmann::json;
using namespace state::pool;  // NOLINT(google-build-using-namespace)

namespace {

json DumpWorker(const worker_entry& worker) {
  return json{{"address", worker.registration.address},
              {"rack", worker.registration.rack},
              {"listed", worker.listed},
              {"recorded", worker.recorded},
              {"lists_applied", worker.lists_applied},
              {"draining", worker.registration.draining},
              {"evacuated", worker.evacuated},
              {"reachable", worker.reachable},
              {"known", !worker.may_have_unlisted_runs},
              {"failures_in_row", worker.failures_in_row},
              {"lease_bound_ms", worker.lease.bound().time_since_epoch().count()},
              {"free_accelerators", worker.Free().accelerators},
              {"free_cpu_millis", worker.Free().cpu_millis},
              {"tasks", worker.tasks}};
}

json DumpJob(const job_entry& job) {
  int open = 0;
  int active = 0;
  int failures = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const step_progress& step : occurrence.steps) {
      open += step.open_units;
      for (const work_unit& unit : step.units) {
        active += unit.IsIdle() ? 0 : 1;
        failures += unit.failures();
      }
    }
  }
  return json{{"phase", JobPhaseName(job.phase)}, {"workspace", job.submission.workspace},
              {"queue", job.submission.queue},    {"open_units", open},
              {"active_units", active},           {"failures", failures}};
}

}  // namespace

std::string DumpPool(const ownership& owner, const pool_state* state) {
  json dump{{"epoch", owner.epoch()}, {"has_authority", owner.HasAuthority()}};
  if (state == nullptr) return dump.dump();
  json workers = json::object();
  for (const auto& [id, worker] : state->workers()) workers[id] = DumpWorker(worker);
  json jobs = json::object();
  for (const auto& [id, job] : state->jobs()) {
    if (!IsFinal(job.phase) || job.HasActiveUnits()) jobs[id] = DumpJob(job);
  }
  dump["unresolved_workers"] = state->UnresolvedWorkers();
  dump["workers"] = std::move(workers);
  dump["jobs"] = std::move(jobs);
  return dump.dump();
}

}  // namespace hickorystall::coordination::pool
