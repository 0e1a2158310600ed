#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "state/scheduling/decision.h"

namespace hickorystall::benchmark {

/// A job of a load.
struct load_job {
  /// The job as submitted; `submitted_at` is its arrival.
  state::job_record record;
  /// Actual run time.
  std::chrono::milliseconds run_time{0};
  /// True when the job can never run.
  bool impossible = false;
};

/// A temporary loss of workers.
struct load_outage {
  state::wall_time start;
  state::wall_time end;
  /// Names of the workers.
  std::set<std::string> workers;
};

/// A cluster with all jobs, faults and cancellations of a benchmark run.
struct load {
  /// Name in the tables of the report.
  std::string name;
  /// Seed of the random numbers.
  std::uint64_t seed = 0;
  /// Inventory, workspaces and guarantees.
  state::cluster_config config;
  /// Jobs in order of arrival.
  std::vector<load_job> jobs;
  /// Names of the workers that fail every task.
  std::set<std::string> failing;
  std::vector<load_outage> outages;
  /// Time at which a part of the jobs that have not ended is cancelled; zero for never.
  state::wall_time cancel_at;
  /// End of the period over which fragmentation and utilisation are averaged.
  state::wall_time horizon;
};

/// Returns all loads, generated from `seed`. The short set omits the load of the two-year size.
std::vector<load> MakeLoads(std::uint64_t seed, bool short_set);

/// Returns a load of one day at the two-year size scaled by `factor`. The two-year size has 870 workers, 170
/// workspaces and 1400 jobs a day.
load MakeTwoYearLoad(std::uint64_t seed, double factor);

}  // namespace hickorystall::benchmark
