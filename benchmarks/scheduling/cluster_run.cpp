#include "cluster_run.h"

#include <algorithm>
#include <bit>
#include <cassert>

#include "random_source.h"
#include "state/scheduling/cluster_state.h"
#include "state/scheduling/outcome_recording.h"
#include "state/text.h"

namespace hickorystall::benchmark {
namespace {

using state::job_record;
using state::job_state;
using std::chrono::milliseconds;

/// Time that a reclaimed job needs to stop.
constexpr milliseconds kReclaimTime{1000};
/// Time after which a task on a failing worker fails.
constexpr milliseconds kFailureTime{2000};
/// Interval of decisions while no other event happens.
constexpr milliseconds kTick{30000};
/// Delay before a failed job is considered again. Each further failure doubles it, up to 64 times this value.
constexpr milliseconds kRetryDelay{5000};

double Seconds(milliseconds time) { return static_cast<double>(time.count()) / 1000.0; }

int AcceleratorsOf(const state::job_spec& spec) { return spec.members * spec.accelerators; }

}  // namespace

cluster_run::cluster_run(const load& input, const state::scheduling_policy& policy)
    : input_(input),
      policy_(policy),
      topology_(input.config),
      attempt_start_preserved_(input.jobs.size()),
      queued_since_(input.jobs.size()) {
  snapshot_.config = &input.config;
  for (const state::worker_entry& entry : topology_.workers()) total_accelerators_ += entry.vm->accelerators;
  for (int i = 0; i < static_cast<int>(input.jobs.size()); ++i) {
    result_.outcomes.push_back({.job = &input.jobs[i]});
    index_of_[input.jobs[i].record.id] = i;
    Schedule(input.jobs[i].record.submitted_at, event_kind::kArrival, i);
  }
  for (int i = 0; i < static_cast<int>(input.outages.size()); ++i) {
    Schedule(input.outages[i].start, event_kind::kOutageStart, i);
    Schedule(input.outages[i].end, event_kind::kOutageEnd, i);
  }
  if (input.cancel_at != state::wall_time{}) Schedule(input.cancel_at, event_kind::kCancel, 0);
  now_ = input.jobs.front().record.submitted_at;
  Schedule(now_ + kTick, event_kind::kTick, 0);
}

run_result cluster_run::Run(milliseconds limit) {
  const state::wall_time last = input_.horizon + (stop_at_horizon_ ? milliseconds(0) : limit);
  while (!events_.empty() && events_.top().time <= last) {
    const state::wall_time time = events_.top().time;
    Accumulate(time);
    now_ = time;
    bool only_ticks = true;
    while (!events_.empty() && events_.top().time == time) {
      const event next = events_.top();
      events_.pop();
      only_ticks = only_ticks && next.kind == event_kind::kTick;
      Handle(next);
    }
    const bool waiting = std::any_of(snapshot_.jobs.begin(), snapshot_.jobs.end(),
                                     [](const auto& job) { return job.second.state == job_state::kQueued; });
    if (waiting || !only_ticks) Decide();
  }
  Accumulate(last);
  return result_;
}

void cluster_run::Schedule(state::wall_time time, event_kind kind, int index, int attempt) {
  events_.push({time, next_sequence_++, kind, index, attempt});
}

void cluster_run::Handle(const event& next) {
  const auto job = snapshot_.jobs.find(
      next.index < static_cast<int>(input_.jobs.size()) ? input_.jobs[next.index].record.id : "");
  const bool current = job != snapshot_.jobs.end() && job->second.attempt == next.attempt;
  switch (next.kind) {
    case event_kind::kArrival:
      return Arrive(next.index);
    case event_kind::kEnd:
      if (current && job->second.state == job_state::kRunning) End(next.index);
      return;
    case event_kind::kFailure:
      if (current && HoldsWorkers(job->second.state)) Fail(next.index);
      return;
    case event_kind::kReclaimed:
      if (current && job->second.state == job_state::kReclaiming) FinishReclaim(next.index);
      return;
    case event_kind::kRequeue:
      if (current) job->second.cancel_requested = false;
      return;
    case event_kind::kOutageStart:
      return SetAvailable(input_.outages[next.index], false);
    case event_kind::kOutageEnd:
      return SetAvailable(input_.outages[next.index], true);
    case event_kind::kCancel:
      return CancelSome();
    case event_kind::kTick:
      if (!snapshot_.jobs.empty() || events_.size() > 1) Schedule(now_ + kTick, event_kind::kTick, 0);
      return;
  }
}

void cluster_run::Arrive(int index) {
  const job_record& record = input_.jobs[index].record;
  result_.outcomes[index].guaranteed = IsGuaranteed(record);
  snapshot_.jobs[record.id] = record;
  queued_since_[index] = now_;
}

void cluster_run::Close(int index, job_state end) {
  job_outcome& outcome = result_.outcomes[index];
  outcome.end = end;
  outcome.completion = now_ - outcome.job->record.submitted_at;
  snapshot_.jobs.erase(outcome.job->record.id);
}

void cluster_run::End(int index) {
  job_record& job = snapshot_.jobs.at(input_.jobs[index].record.id);
  for (const state::member_placement& member : job.placement) {
    RecordOutcome(snapshot_.workers[member.vm], job, true, now_);
  }
  LearnRunTime(snapshot_.learned[state::StrCat(job.workspace, '/', job.spec.kind)], job.spec.run_time,
               input_.jobs[index].run_time);
  result_.work_done += AcceleratorsOf(job.spec) * Seconds(input_.jobs[index].run_time);
  Close(index, job_state::kFinished);
}

void cluster_run::Fail(int index) {
  job_record& job = snapshot_.jobs.at(input_.jobs[index].record.id);
  for (const state::member_placement& member : job.placement) {
    if (input_.failing.contains(member.vm)) RecordOutcome(snapshot_.workers[member.vm], job, false, now_);
  }
  ++result_.failures;
  Requeue(index, attempt_start_preserved_[index], milliseconds(0));
  ++job.failures;
  // Decisions ignore a queued job with a pending cancellation; this implements the retry delay.
  job.cancel_requested = true;
  Schedule(now_ + kRetryDelay * (1 << std::min(job.failures - 1, 6)), event_kind::kRequeue, index,
           job.attempt);
}

void cluster_run::Requeue(int index, milliseconds preserved, milliseconds lost) {
  job_record& job = snapshot_.jobs.at(input_.jobs[index].record.id);
  result_.work_lost += AcceleratorsOf(job.spec) * Seconds(lost);
  job.state = job_state::kQueued;
  queued_since_[index] = now_;
  job.placement.clear();
  job.preserved = preserved;
}

void cluster_run::FinishReclaim(int index) {
  const job_record& job = snapshot_.jobs.at(input_.jobs[index].record.id);
  const milliseconds ran = now_ - kReclaimTime - job.started_at;
  const milliseconds before = attempt_start_preserved_[index];
  // The second that the reclaim takes counts as lost in either case.
  if (job.spec.may_checkpoint) {
    Requeue(index, before + ran, kReclaimTime);
  } else {
    Requeue(index, before, ran + kReclaimTime);
  }
}

void cluster_run::SetAvailable(const load_outage& outage, bool available) {
  for (const std::string& worker : outage.workers) snapshot_.workers[worker].available = available;
  if (available) return;
  for (auto& [id, job] : snapshot_.jobs) {
    const bool hit = std::any_of(job.placement.begin(), job.placement.end(),
                                 [&](const auto& member) { return outage.workers.contains(member.vm); });
    if (HoldsWorkers(job.state) && hit)
      Requeue(index_of_[id], attempt_start_preserved_[index_of_[id]], milliseconds(0));
  }
}

void cluster_run::CancelSome() {
  random_source random(input_.seed);
  std::vector<int> cancelled;
  for (const auto& [id, job] : snapshot_.jobs) {
    if (random.Chance(0.4)) cancelled.push_back(index_of_[id]);
  }
  for (int index : cancelled) Close(index, job_state::kCancelled);
}

void cluster_run::Decide() {
  const auto before = std::chrono::steady_clock::now();
  const state::scheduling_decision decision = DecideBy(policy_, snapshot_, now_);
  result_.decision_times.push_back(std::chrono::steady_clock::now() - before);
  for (const state::scheduling_command& command : decision.commands) Apply(command);
  busy_now_ = 0;
  for (const auto& [id, job] : snapshot_.jobs)
    busy_now_ += HoldsWorkers(job.state) ? AcceleratorsOf(job.spec) : 0;
  fragmented_now_ = Fragmented();
}

void cluster_run::Apply(const state::scheduling_command& command) {
  const int index = index_of_.at(command.job_id);
  switch (command.kind) {
    case state::command_kind::kStart:
      return Start(index, command.placement);
    case state::command_kind::kRefuse:
      return Close(index, job_state::kRefused);
    case state::command_kind::kReclaim:
      snapshot_.jobs.at(command.job_id).state = job_state::kReclaiming;
      ++result_.reclaims;
      Schedule(now_ + kReclaimTime, event_kind::kReclaimed, index, snapshot_.jobs.at(command.job_id).attempt);
      return;
  }
}

void cluster_run::Start(int index, const std::vector<state::member_placement>& placement) {
  job_record& job = snapshot_.jobs.at(input_.jobs[index].record.id);
  job_outcome& outcome = result_.outcomes[index];
  if (outcome.first_wait.count() < 0) outcome.first_wait = now_ - job.submitted_at;
  outcome.queued += now_ - queued_since_[index];
  job.state = job_state::kRunning;
  job.placement = placement;
  job.started_at = now_;
  ++job.attempt;
  attempt_start_preserved_[index] = job.preserved;
  const bool fails = std::any_of(placement.begin(), placement.end(),
                                 [&](const auto& member) { return input_.failing.contains(member.vm); });
  if (fails) {
    Schedule(now_ + kFailureTime, event_kind::kFailure, index, job.attempt);
  } else {
    Schedule(now_ + std::max(input_.jobs[index].run_time - job.preserved, milliseconds(1)), event_kind::kEnd,
             index, job.attempt);
  }
}

void cluster_run::Accumulate(state::wall_time until) {
  const state::wall_time from = std::min(now_, input_.horizon);
  const double elapsed = Seconds(std::min(until, input_.horizon) - from);
  result_.capacity += elapsed * total_accelerators_;
  result_.busy += elapsed * busy_now_;
  result_.fragmented += elapsed * fragmented_now_;
}

int cluster_run::Fragmented() const {
  const job_record* largest = nullptr;
  for (const auto& [id, job] : snapshot_.jobs) {
    if (job.state != job_state::kQueued || job.cancel_requested || job.spec.members < 2) continue;
    if (largest == nullptr || AcceleratorsOf(job.spec) > AcceleratorsOf(largest->spec)) largest = &job;
  }
  if (largest == nullptr || largest->spec.accelerators == 0) return 0;
  const state::cluster_state cluster(policy_, snapshot_, now_);
  int free = 0;
  for (int i = 0; i < static_cast<int>(topology_.workers().size()); ++i) {
    if (cluster.free().at(i).tasks > 0) free += std::popcount(cluster.free().at(i).accelerators);
  }
  int best = 0;
  for (const std::vector<int>& scope : topology_.scopes(largest->spec.placement)) {
    int fit = 0;
    for (int worker : scope)
      fit += cluster.free().MembersThatFit(worker, largest->spec, largest->spec.members);
    best = std::max(best, fit);
  }
  return std::max(0, free - best * largest->spec.accelerators);
}

bool cluster_run::IsGuaranteed(const job_record& job) const {
  std::vector<const job_record*> others;
  for (const auto& [id, other] : snapshot_.jobs) {
    if (other.workspace == job.workspace) others.push_back(&other);
  }
  std::stable_sort(others.begin(), others.end(), [](const job_record* a, const job_record* b) {
    return std::pair(!HoldsWorkers(a->state), a->submitted_at) <
           std::pair(!HoldsWorkers(b->state), b->submitted_at);
  });
  state::guarantee_ledger ledger(input_.config, topology_);
  int workspace = 0;
  while (input_.config.workspaces[workspace].name != job.workspace) ++workspace;
  for (const job_record* other : others) {
    if (!other->spec.may_wait || ledger.Covers(workspace, other->spec))
      ledger.Consume(workspace, other->spec);
  }
  return ledger.Covers(workspace, job.spec);
}

}  // namespace hickorystall::benchmark
