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
  /// What is submitted; `submitted_at` is its arrival.
  state::job_record record;
  /// How long it really runs.
  std::chrono::milliseconds run_time{0};
  /// True when nothing could ever run it.
  bool impossible = false;
};

/// Workers that are lost for a time.
struct load_outage {
  /// When they are lost.
  state::wall_time start;
  /// When they return.
  state::wall_time end;
  /// Names of the workers.
  std::set<std::string> workers;
};

/// A cluster with everything that happens to it.
struct load {
  /// Name in tables.
  std::string name;
  /// Seed of its random numbers.
  std::uint64_t seed = 0;
  /// Inventory and guarantees.
  state::cluster_config config;
  /// Jobs in order of arrival.
  std::vector<load_job> jobs;
  /// Workers that fail every task.
  std::set<std::string> failing;
  /// Losses of workers.
  std::vector<load_outage> outages;
  /// When a part of the jobs known by then is cancelled; zero for never.
  state::wall_time cancel_at;
  /// End of the period over which fragmentation and utilisation are averaged.
  state::wall_time horizon;
};

/// All loads, from `seed`. The short set leaves out the two-year size.
std::vector<load> MakeLoads(std::uint64_t seed, bool short_set);

/// The two-year size scaled by `factor`, with jobs of one day.
load MakeTwoYearLoad(std::uint64_t seed, double factor);

}  // namespace hickorystall::benchmark
