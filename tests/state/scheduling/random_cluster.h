#pragma once

#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "state/scheduling/scheduling_policy.h"

namespace hickorystall::state {

/// Random numbers of one thing that happens to a cluster; see random_cluster::Apply.
using random_step = std::tuple<int, int, int, int>;

/// A small cluster driven by random numbers, for property tests. It carries out each decision at once, and
/// ends a reclaim with the next step.
class random_cluster {
 public:
  /// Sees each decision with the snapshot that it was made from.
  using observer = std::function<void(const scheduling_snapshot&, const scheduling_decision&, wall_time)>;

  /// Builds an inventory from `numbers`; equal numbers give equal clusters. Guarantees that do not fit are
  /// left out.
  explicit random_cluster(const std::vector<int>& numbers);

  /// Submits, ends or cancels a job, or loses or returns a worker (only `with_faults`); then decides.
  void Apply(const random_step& step, bool with_faults);
  /// Adds a queued job.
  job_record& Submit(int workspace, const job_spec& spec);
  /// Ends the reclaims, lets `elapsed` pass, decides and carries out the commands.
  void Decide(std::chrono::milliseconds elapsed);
  /// Ends the jobs that have run for their declared time.
  void EndFinished();

  /// Called for each decision.
  observer on_decision;
  /// Policy to decide by.
  scheduling_policy policy = kDefaultPolicy;
  /// Inventory.
  cluster_config config;
  /// Jobs and workers.
  scheduling_snapshot snapshot;
  /// Manual clock.
  wall_time now{std::chrono::hours(1000)};

 private:
  /// Adds the workspaces with guarantees that fit together.
  void AddWorkspaces(const std::vector<int>& numbers);
  /// Carries out one command.
  void Execute(const scheduling_command& command);
  /// Jobs submitted.
  int submitted_ = 0;
};

}  // namespace hickorystall::state
