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

/// What became of one job.
struct job_outcome {
  /// The job. Not null.
  const load_job* job = nullptr;
  /// Final state, kQueued when it never ended.
  state::job_state end = state::job_state::kQueued;
  /// True when it lay within its workspace's guarantee, beside what was running and queued, when it arrived.
  bool guaranteed = false;
  /// Time from submission to its first start; negative when it never started.
  std::chrono::milliseconds first_wait{-1};
  /// Time in the queue in all, also after it was reclaimed.
  std::chrono::milliseconds queued{0};
  /// Time from submission to its end.
  std::chrono::milliseconds completion{0};
};

/// What one policy made of one load.
struct run_result {
  /// Outcome of each job, in order of arrival.
  std::vector<job_outcome> outcomes;
  /// Accelerator seconds of work done that was not lost.
  double work_done = 0;
  /// Accelerator seconds lost to reclaim.
  double work_lost = 0;
  /// Jobs reclaimed.
  int reclaims = 0;
  /// Attempts that failed on a worker.
  int failures = 0;
  /// Accelerator seconds in use up to the horizon.
  double busy = 0;
  /// Accelerator seconds that were free but unusable by the largest waiting gang up to the horizon.
  double fragmented = 0;
  /// Accelerator seconds in all up to the horizon.
  double capacity = 0;
  /// Real time of each decision.
  std::vector<std::chrono::nanoseconds> decision_times;
};

/// Runs a load under a policy on a manual clock. It carries out each command at once; a reclaim takes one
/// second, the time that a worker gets for a checkpoint.
class cluster_run {
 public:
  /// Prepares a run. The arguments must outlive it.
  cluster_run(const load& input, const state::scheduling_policy& policy);

  /// Runs until every job has ended or `limit` of simulated time has passed since the horizon.
  run_result Run(std::chrono::milliseconds limit);
  /// The state at the end of Run, for timing decisions.
  const state::scheduling_snapshot& snapshot() const { return snapshot_; }
  /// Stops the run at the horizon instead.
  void StopAtHorizon() { stop_at_horizon_ = true; }

 private:
  /// What happens at a time of the manual clock.
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
  /// An event.
  struct event {
    /// When it happens.
    state::wall_time time;
    /// Order among events of the same time.
    std::int64_t sequence = 0;
    /// What happens.
    event_kind kind = event_kind::kTick;
    /// Index of the job or outage.
    int index = 0;
    /// Attempt that it belongs to; a later attempt makes it void.
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
  /// Adds the time since the last event to the averages.
  void Accumulate(state::wall_time until);
  /// Accelerators that are free but unusable by the largest waiting gang.
  int Fragmented() const;
  /// True when the job lies within its workspace's guarantee beside its running and queued jobs.
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
