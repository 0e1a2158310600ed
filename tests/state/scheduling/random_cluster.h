#pragma once

#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "state/scheduling/scheduling_policy.h"

namespace hickorystall::state {

/// Random numbers from which random_cluster::Apply derives one event.
using random_step = std::tuple<int, int, int, int>;

/// A small cluster driven by random numbers, for property tests. Commands take effect at once, but a reclaim
/// ends with the next decision.
class random_cluster {
 public:
  /// Receives a decision, the snapshot that it was made from, and its time.
  using observer = std::function<void(const scheduling_snapshot&, const scheduling_decision&, wall_time)>;

  /// Builds the inventory and the workspaces from `numbers`; equal numbers give equal clusters. Guarantees
  /// that do not fit are omitted.
  explicit random_cluster(const std::vector<int>& numbers);

  /// Submits or removes a job or, only `with_faults`, changes the availability or drain mark of a worker.
  /// Then decides.
  void Apply(const random_step& step, bool with_faults);
  /// Adds a queued job of the workspace at index `workspace`.
  job_record& Submit(int workspace, const job_spec& spec);
  /// Advances the clock by `elapsed`, ends the reclaims, decides and executes the commands.
  void Decide(std::chrono::milliseconds elapsed);
  /// Removes the jobs that have run for their declared time.
  void EndFinished();

  /// Called for each decision before its commands are executed; may be empty.
  observer on_decision;
  scheduling_policy policy = kDefaultPolicy;
  /// Inventory, workspaces and guarantees.
  cluster_config config;
  /// Jobs and worker states; refers to `config`.
  scheduling_snapshot snapshot;
  /// Current time of the manual clock. It is not zero because zero means "never".
  wall_time now{std::chrono::hours(1000)};

 private:
  /// Adds workspaces whose guarantees fit together on the empty cluster.
  void AddWorkspaces(const std::vector<int>& numbers);
  /// Applies one command to the snapshot.
  void Execute(const scheduling_command& command);
  /// Number of jobs submitted so far.
  int submitted_ = 0;
};

}  // namespace hickorystall::state
