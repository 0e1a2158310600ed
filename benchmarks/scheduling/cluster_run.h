#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "load.h"
#include "state/scheduling/scheduling_policy.h"

namespace hickorystall::benchmark {

/// Outcome of one job.
struct job_outcome {
  /// Not null.
  const load_job* job = nullptr;
  /// Final state; kQueued when the job never ended.
  state::job_state end = state::job_state::kQueued;
  /// True when the job fitted in its workspace's guarantee beside the running and queued jobs when it
  /// arrived.
  bool guaranteed = false;
  /// Time from submission to the first start; negative when the job never started.
  std::chrono::milliseconds first_wait{-1};
  /// Total time in the queue, including after reclaims.
  std::chrono::milliseconds queued{0};
  /// Time from submission to the end.
  std::chrono::milliseconds completion{0};
};

/// Result of one policy on one load.
struct run_result {
  /// Outcome of each job, in order of arrival.
  std::vector<job_outcome> outcomes;
  /// Accelerator seconds of finished work, without work that was lost.
  double work_done = 0;
  /// Accelerator seconds lost to reclaim.
  double work_lost = 0;
  /// Number of reclaims.
  int reclaims = 0;
  /// Number of attempts that failed on a worker.
  int failures = 0;
  /// Accelerator seconds in use until the horizon.
  double busy = 0;
  /// Accelerator seconds that were free but unusable for the largest waiting gang until the horizon.
  double fragmented = 0;
  /// Total accelerator seconds until the horizon.
  double capacity = 0;
  /// Real time that each decision took.
  std::vector<std::chrono::nanoseconds> decision_times;
};

/// Simulates a load under a policy on a manual clock. Commands take effect at once, but a reclaim takes one
/// second, the time that a worker gets for a checkpoint.
class cluster_run {
 public:
  /// Prepares a run. The arguments must outlive it.
  cluster_run(const load& input, const state::scheduling_policy& policy);

  /// Runs until every job has ended or the simulated time is `limit` past the horizon. May be called once.
  run_result Run(std::chrono::milliseconds limit);
  /// Snapshot at the end of Run, to measure decisions on.
  const state::scheduling_snapshot& snapshot() const { return snapshot_; }
  /// Makes Run stop at the horizon, regardless of its limit.
  void StopAtHorizon() { stop_at_horizon_ = true; }

 private:
  /// Kind of a simulated event.
  enum class event_kind {
    kArrival,
    kEnd,
    kFailure,
    kReclaimed,
    kRequeue,
    kOutageStart,
    kOutageEnd,
    kCancel,
    kTick
  };
  /// A simulated event. Events at the same time are handled in the order in which they were scheduled.
  struct event {
    state::wall_time time;
    /// Position in the order of scheduling.
    std::int64_t sequence = 0;
    event_kind kind = event_kind::kTick;
    /// Index of the job or outage; 0 for events without one.
    int index = 0;
    /// Attempt that the event belongs to; the event is ignored when the job has a later attempt.
    int attempt = 0;

    friend bool operator>(const event& a, const event& b) {
      return a.time != b.time ? a.time > b.time : a.sequence > b.sequence;
    }
  };

  void Schedule(state::wall_time time, event_kind kind, int index, int attempt = 0);
  void Handle(const event& next);
  void Arrive(int index);
  void End(int index);
  void Fail(int index);
  void Requeue(int index, std::chrono::milliseconds preserved, std::chrono::milliseconds lost);
  void FinishReclaim(int index);
  void SetAvailable(const load_outage& outage, bool available);
  void CancelSome();
  void Decide();
  void Apply(const state::scheduling_command& command);
  void Start(int index, const std::vector<state::member_placement>& placement);
  void Close(int index, state::job_state end);
  /// Adds the time from the last event to `until` to the sums over time.
  void Accumulate(state::wall_time until);
  /// Returns the number of accelerators that are free but unusable for the largest waiting gang.
  int Fragmented() const;
  /// True when `job` fits in its workspace's guarantee beside the running and queued jobs of the workspace.
  bool IsGuaranteed(const state::job_record& job) const;

  const load& input_;
  const state::scheduling_policy& policy_;
  state::worker_topology topology_;
  state::scheduling_snapshot snapshot_;
  run_result result_;
  std::map<std::string, int> index_of_;
  std::vector<std::chrono::milliseconds> attempt_start_preserved_;
  std::vector<state::wall_time> queued_since_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::int64_t next_sequence_ = 0;
  state::wall_time now_;
  int fragmented_now_ = 0;
  int busy_now_ = 0;
  int total_accelerators_ = 0;
  bool stop_at_horizon_ = false;
};

}  // namespace hickorystall::benchmark
