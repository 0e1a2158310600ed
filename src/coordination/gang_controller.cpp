#include "coordination/gang_controller.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdlib>
#include <optional>

#include "coordination/gang_controller_fanout.h"
#include "state/scheduling/outcome_recording.h"
#include "state/text.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using protocol::task_state;
using state::job_record;
using state::job_state;
using std::chrono::milliseconds;

namespace {

// Delay between attempts of a command that a worker did not confirm.
constexpr milliseconds kCommandRetryDelay{250};
// Number of failures to raise the shares in one attempt after which the gang is placed again.
constexpr int kMaxFailedRaises = 2;

// Describes the members with an error status in one sentence.
std::string DescribeFailures(const job_record& record, const std::vector<absl::Status>& statuses) {
  std::string text;
  for (std::size_t i = 0; i < statuses.size(); ++i) {
    if (statuses[i].ok()) continue;
    text += state::StrCat(text.empty() ? "" : "; ", "worker ", record.placement[i].vm, ": ",
                          std::string(statuses[i].message()));
  }
  return text;
}

bool AllOk(const std::vector<absl::Status>& statuses) {
  return std::all_of(statuses.begin(), statuses.end(),
                     [](const absl::Status& status) { return status.ok(); });
}

std::string LeaseOf(const job_record& record, std::size_t member) {
  return state::TaskLeaseId(record.id, record.attempt, static_cast<int>(member));
}

}  // namespace

std::string RevokedLeaseKey(std::string_view pool, std::string_view lease) {
  return state::StrCat("revoked/", pool, "/", lease);
}

state::wall_time WallNow() {
  return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

gang_controller::gang_controller(protocol::worker_client& client, job_store& store, pool_lease& lease,
                                 worker_watcher& watcher, gang_controller_settings settings,
                                 std::function<void()> on_change)
    : client_(client),
      store_(store),
      lease_(lease),
      watcher_(watcher),
      settings_(std::move(settings)),
      on_change_(std::move(on_change)) {}

void gang_controller::Clear() { runtimes_.clear(); }

std::string gang_controller::EndpointOf(const std::string& vm) const {
  const watched_worker* worker = watcher_.Find(vm);
  return worker == nullptr ? "" : worker->endpoint;
}

void gang_controller::Advance(const asio::any_io_executor& executor) {
  std::erase_if(runtimes_, [&](const auto& entry) {
    const job_record* record = store_.Find(entry.first);
    return record == nullptr || !state::HoldsWorkers(record->state);
  });
  for (const auto& [id, record] : store_.active()) {
    if (!state::HoldsWorkers(record.state)) continue;
    runtime_ptr& runtime = runtimes_[id];
    if (runtime == nullptr || runtime->attempt != record.attempt) {
      runtime = std::make_shared<gang_runtime>();
      runtime->attempt = record.attempt;
      runtime->confirmed_at = clock::now();
    }
    if (runtime->busy) continue;
    const operation next = NextOperation(record, *runtime);
    if (next == nullptr) continue;
    runtime->busy = true;
    asio::co_spawn(executor, RunOperation(next, record, runtime), asio::detached);
  }
  StopOrphans(executor);
}

asio::awaitable<void> gang_controller::RunOperation(operation run, job_record record, runtime_ptr runtime) {
  co_await (this->*run)(std::move(record), runtime);
  runtime->busy = false;
  on_change_();
}

gang_controller::operation gang_controller::NextOperation(const job_record& record,
                                                          gang_runtime& runtime) const {
  if (record.cancel_requested || record.state == job_state::kReclaiming) return &gang_controller::Release;
  if (record.state == job_state::kStarting) return &gang_controller::Start;
  const gang_status status = StatusOfGang(record, runtime);
  if (!status.failed_vm.empty() || !status.lost_vm.empty())
    return &gang_controller::ReclaimAfterMemberFailure;
  if (status.finished == record.placement.size()) return &gang_controller::Finish;
  if (status.unknown) return nullptr;
  if (status.unreachable) {
    const bool throttle = record.placement.size() > 1 && !runtime.throttled;
    return throttle ? &gang_controller::Throttle : nullptr;
  }
  if (runtime.at_full_share) return nullptr;
  // The previous owner may have raised all shares before the takeover.
  if (status.all_at_full_share && !runtime.throttled) {
    runtime.at_full_share = true;
    return nullptr;
  }
  return &gang_controller::RaiseShares;
}

gang_controller::member_status gang_controller::StatusOf(const job_record& record, std::size_t member,
                                                         gang_runtime& runtime) const {
  const watched_worker* worker = watcher_.Find(record.placement[member].vm);
  if (worker == nullptr) return member_status::kLost;
  const auto task = worker->tasks.find(LeaseOf(record, member));
  if (task != worker->tasks.end()) runtime.listed_members.insert(member);
  if (task != worker->tasks.end() && task->second.state == task_state::kFinished)
    return member_status::kFinished;
  if (task != worker->tasks.end() && task->second.state == task_state::kFailed) return member_status::kFailed;
  if (!worker->reachable) {
    const bool lost = clock::now() - worker->last_reply_at > settings_.lease_term;
    if (lost) return member_status::kLost;
    return worker->reported ? member_status::kUnreachable : member_status::kUnknown;
  }
  if (task != worker->tasks.end()) {
    return protocol::IsLive(task->second.state) ? member_status::kWorking : member_status::kLost;
  }
  // A list that was requested before the start was confirmed may lack the task.
  const bool expected =
      runtime.listed_members.contains(member) || worker->requested_at > runtime.confirmed_at;
  return expected ? member_status::kLost : member_status::kUnknown;
}

gang_controller::gang_status gang_controller::StatusOfGang(const job_record& record,
                                                           gang_runtime& runtime) const {
  gang_status gang;
  for (std::size_t i = 0; i < record.placement.size(); ++i) {
    const std::string& vm = record.placement[i].vm;
    const member_status status = StatusOf(record, i, runtime);
    if (status == member_status::kFinished) ++gang.finished;
    if (status == member_status::kFailed) gang.failed_vm = vm;
    if (status == member_status::kLost) gang.lost_vm = vm;
    if (status == member_status::kUnknown) gang.unknown = true;
    if (status == member_status::kUnreachable) gang.unreachable = true;
    if (status == member_status::kWorking) {
      gang.all_at_full_share =
          gang.all_at_full_share && watcher_.Find(vm)->tasks.at(LeaseOf(record, i)).share >= 1;
    }
  }
  return gang;
}

asio::awaitable<absl::Status> gang_controller::StartMember(const job_record& record, std::size_t member) {
  protocol::task_start start;
  start.lease = LeaseOf(record, member);
  start.task = start.lease;
  start.lease_term = settings_.lease_term;
  start.processors = record.spec.processors;
  start.memory_mib = record.spec.memory_mib;
  start.accelerators = record.placement[member].accelerators;
  start.kind = record.spec.kind;
  start.run_time = record.spec.run_time;
  if (member < record.checkpoints.size()) start.checkpoint = record.checkpoints[member];
  const std::string endpoint = EndpointOf(record.placement[member].vm);
  const clock::time_point limit = clock::now() + settings_.start_limit;
  absl::Status status = absl::UnavailableError("the worker is not in the inventory");
  while (!endpoint.empty() && MayCommand()) {
    status = co_await client_.Start(endpoint, start, settings_.command_timeout);
    if (status.ok() || absl::IsAborted(status) || clock::now() + kCommandRetryDelay >= limit) break;
    co_await transport::Sleep(kCommandRetryDelay);
  }
  co_return status;
}

asio::awaitable<void> gang_controller::Start(job_record record, runtime_ptr runtime) {
  const std::vector<absl::Status> started = co_await RunForEach<absl::Status>(
      record.placement.size(), [this, &record](std::size_t i) { return StartMember(record, i); });
  if (!MayCommand()) co_return;
  if (!AllOk(started)) {
    for (std::size_t i = 0; i < started.size(); ++i) {
      if (!started[i].ok()) watcher_.RecordOutcome(record.placement[i].vm, record, false, WallNow());
    }
    co_await CommitReclaiming(record, "start failed: " + DescribeFailures(record, started), false);
    co_return;
  }
  runtime->confirmed_at = clock::now();
  const absl::Status committed = co_await store_.Commit([&](job_batch& batch) {
    job_record* current = batch.Find(record.id);
    if (current == nullptr || current->attempt != record.attempt || current->cancel_requested) return;
    if (current->state == job_state::kStarting) current->state = job_state::kRunning;
  });
  if (!committed.ok()) co_return;
  const job_record* current = store_.Find(record.id);
  if (current == nullptr || current->state != job_state::kRunning || current->cancel_requested) co_return;
  LOG(INFO) << "scheduler: job " << record.id << " attempt " << record.attempt << " runs on "
            << record.placement.size() << " members";
  co_await RaiseShares(record, runtime);
}

asio::awaitable<void> gang_controller::RaiseShares(job_record record, runtime_ptr runtime) {
  if (!MayCommand()) co_return;
  const std::vector<absl::Status> raised = co_await SetShares(record, 1.0);
  runtime->confirmed_at = clock::now();
  if (AllOk(raised)) {
    runtime->at_full_share = true;
    runtime->throttled = false;
    runtime->failed_raises = 0;
    co_return;
  }
  // Some members run and others may not; no member may run until all can.
  co_await SetShares(record, 0);
  LOG(WARNING) << "scheduler: job " << record.id
               << " is throttled, its shares could not be raised: " << DescribeFailures(record, raised);
  if (++runtime->failed_raises < kMaxFailedRaises || !MayCommand()) co_return;
  co_await CommitReclaiming(record, "lifting the shares failed: " + DescribeFailures(record, raised), false);
}

asio::awaitable<void> gang_controller::Throttle(job_record record, runtime_ptr runtime) {
  if (!MayCommand()) co_return;
  LOG(WARNING) << "scheduler: job " << record.id << " is throttled, the worker of a member is unreachable";
  runtime->throttled = true;
  runtime->at_full_share = false;
  co_await SetShares(record, 0);
}

asio::awaitable<void> gang_controller::ReclaimAfterMemberFailure(job_record record, runtime_ptr runtime) {
  const gang_status status = StatusOfGang(record, *runtime);
  if (!MayCommand()) co_return;
  runtime->at_full_share = false;
  if (record.placement.size() > 1) co_await SetShares(record, 0);
  const bool failed = !status.failed_vm.empty();
  const std::string& vm = failed ? status.failed_vm : status.lost_vm;
  if (failed) watcher_.RecordOutcome(vm, record, false, WallNow());
  co_await CommitReclaiming(
      record, state::StrCat(failed ? "a task failed on worker " : "a member was lost with worker ", vm),
      failed);
}

// If the write fails, the job's row and the workers' lists still call for this operation, so it is repeated.
asio::awaitable<void> gang_controller::CommitReclaiming(const job_record& record, std::string reason,
                                                        bool count_failure) {
  LOG(INFO) << "scheduler: job " << record.id << " attempt " << record.attempt
            << " releases its workers: " << reason;
  const absl::Status committed = co_await store_.Commit([&](job_batch& batch) {
    job_record* current = batch.Find(record.id);
    if (current == nullptr || current->attempt != record.attempt || current->state == job_state::kReclaiming)
      return;
    current->state = job_state::kReclaiming;
    current->reason = reason;
    if (count_failure) ++current->failures;
  });
  LOG_IF(WARNING, !committed.ok()) << "scheduler: job " << record.id
                                   << " could not be written: " << committed.message();
}

asio::awaitable<void> gang_controller::Finish(job_record record, runtime_ptr) {
  const state::wall_time now = WallNow();
  const absl::Status committed = co_await store_.Commit([&](job_batch& batch) {
    job_record* current = batch.Find(record.id);
    if (current == nullptr || current->attempt != record.attempt || !state::HoldsWorkers(current->state))
      return;
    current->state = job_state::kFinished;
    current->finished_at = now;
    current->reason.clear();
    current->placement.clear();
  });
  if (!committed.ok()) co_return;
  for (const state::member_placement& member : record.placement)
    watcher_.RecordOutcome(member.vm, record, true, now);
  Learn(record, now);
}

void gang_controller::Learn(const job_record& record, state::wall_time now) {
  state::LearnRunTime(learned_[record.workspace + "/" + record.spec.kind], record.spec.run_time,
                      now - record.started_at + record.preserved);
}

asio::awaitable<void> gang_controller::Release(job_record record, runtime_ptr runtime) {
  if (!MayCommand()) co_return;
  runtime->at_full_share = false;
  co_await SetShares(record, 0);
  if (record.spec.may_checkpoint && !record.cancel_requested) co_await CheckpointAll(record);
  if (!co_await StopAll(record)) co_return;
  const state::wall_time now = WallNow();
  const absl::Status committed = co_await store_.Commit([&](job_batch& batch) {
    job_record* current = batch.Find(record.id);
    if (current == nullptr || current->attempt != record.attempt || !state::HoldsWorkers(current->state))
      return;
    for (std::size_t i = 0; i < record.placement.size(); ++i) {
      batch.Delete(RevokedLeaseKey(settings_.pool, LeaseOf(record, i)));
    }
    current->placement.clear();
    current->checkpoints = record.checkpoints;
    current->preserved = record.preserved;
    current->state = job_state::kQueued;
    if (current->cancel_requested) {
      current->state = job_state::kCancelled;
      current->reason = "cancelled while it was running";
    } else if (current->failures >= settings_.max_failures) {
      current->state = job_state::kFailed;
      current->reason =
          state::StrCat("failed ", current->failures, " times, most recently: ", current->reason);
    }
    if (state::IsFinal(current->state)) current->finished_at = now;
  });
  LOG_IF(WARNING, !committed.ok()) << "scheduler: job " << record.id
                                   << " could not be written: " << committed.message();
}

asio::awaitable<std::vector<absl::Status>> gang_controller::SetShares(const job_record& record,
                                                                      double share) {
  co_return co_await RunForEach<absl::Status>(
      record.placement.size(), [this, &record, share](std::size_t i) -> asio::awaitable<absl::Status> {
        const std::string lease = LeaseOf(record, i);
        const watched_worker* worker = watcher_.Find(record.placement[i].vm);
        if (worker == nullptr) co_return absl::UnavailableError("the worker is not in the inventory");
        const std::string endpoint = worker->endpoint;
        const auto task = worker->tasks.find(lease);
        // A finished member needs no share.
        if (task != worker->tasks.end() && task->second.state == task_state::kFinished)
          co_return absl::OkStatus();
        co_return co_await client_.SetShare(endpoint, lease, lease, share, settings_.command_timeout);
      });
}

asio::awaitable<void> gang_controller::CheckpointAll(job_record& record) {
  using result = std::optional<protocol::task_checkpoint>;
  const std::vector<result> results = co_await RunForEach<result>(
      record.placement.size(), [this, &record](std::size_t i) -> asio::awaitable<result> {
        const std::string lease = LeaseOf(record, i);
        const std::string endpoint = EndpointOf(record.placement[i].vm);
        if (endpoint.empty()) co_return std::nullopt;
        const absl::StatusOr<protocol::task_checkpoint> made =
            co_await client_.Checkpoint(endpoint, lease, lease, settings_.checkpoint_timeout);
        if (!made.ok()) co_return std::nullopt;
        co_return *made;
      });
  // The checkpoints of a gang belong together: if one is missing, the earlier set is kept.
  if (std::any_of(results.begin(), results.end(), [](const result& made) { return !made.has_value(); })) {
    co_return;
  }
  record.checkpoints.clear();
  record.preserved = results.front()->progress;
  for (const result& made : results) {
    record.checkpoints.push_back(made->checkpoint);
    record.preserved = std::min(record.preserved, made->progress);
  }
}

// Returns true when no member can run any more: each worker has confirmed the stop, or the leases have
// expired.
asio::awaitable<bool> gang_controller::StopAll(const job_record& record) {
  const std::size_t count = record.placement.size();
  std::vector<absl::Status> stopped(count, absl::UnavailableError(""));
  std::optional<clock::time_point> revoked_at;
  for (;;) {
    if (!MayCommand()) co_return false;
    const std::vector<absl::Status> earlier = stopped;
    stopped = co_await RunForEach<absl::Status>(
        count, [this, &record, &earlier](std::size_t i) -> asio::awaitable<absl::Status> {
          if (earlier[i].ok()) co_return absl::OkStatus();
          const std::string lease = LeaseOf(record, i);
          const std::string endpoint = EndpointOf(record.placement[i].vm);
          if (endpoint.empty()) co_return absl::UnavailableError("the worker is not in the inventory");
          co_return co_await client_.Stop(endpoint, lease, lease, settings_.command_timeout);
        });
    if (AllOk(stopped)) co_return true;
    if (revoked_at.has_value()) {
      if (clock::now() - *revoked_at > settings_.lease_term + settings_.revocation_lag) co_return true;
    } else {
      // Other schedulers may reach the worker and would keep renewing the lease.
      const absl::Status revoked = co_await store_.Commit([&](job_batch& batch) {
        for (std::size_t i = 0; i < count; ++i) {
          if (!stopped[i].ok()) batch.Put(RevokedLeaseKey(settings_.pool, LeaseOf(record, i)), "{}");
        }
      });
      if (revoked.ok()) revoked_at = clock::now();
      if (!revoked.ok()) co_return false;
    }
    co_await transport::Sleep(kCommandRetryDelay);
  }
}

bool gang_controller::IsHeldLease(const std::string& lease, const std::string& vm) const {
  const std::size_t member_dot = lease.rfind('.');
  const std::size_t attempt_dot = member_dot == std::string::npos || member_dot == 0
                                      ? std::string::npos
                                      : lease.rfind('.', member_dot - 1);
  if (attempt_dot == std::string::npos) return false;
  const job_record* record = store_.Find(lease.substr(0, attempt_dot));
  if (record == nullptr || !state::HoldsWorkers(record->state)) return false;
  const auto member = std::strtoull(lease.c_str() + member_dot + 1, nullptr, 10);
  return member < record->placement.size() && record->placement[member].vm == vm &&
         LeaseOf(*record, member) == lease;
}

// A lease that no job holds now is never held again, so a stale list is sufficient to stop its task.
void gang_controller::StopOrphans(const asio::any_io_executor& executor) {
  if (!MayCommand()) return;
  for (const auto& [vm, worker] : watcher_.workers()) {
    if (!worker->reachable) continue;
    for (const auto& [lease, task] : worker->tasks) {
      if (IsHeldLease(lease, vm) || !orphans_.insert(lease).second) continue;
      LOG_IF(INFO, protocol::IsLive(task.state))
          << "scheduler: task " << task.task << " on worker " << vm << " belongs to no job and is stopped";
      asio::co_spawn(executor, StopOrphan(worker->endpoint, task), asio::detached);
    }
  }
}

asio::awaitable<void> gang_controller::StopOrphan(std::string endpoint, protocol::worker_task task) {
  const absl::Status stopped =
      co_await client_.Stop(endpoint, task.task, task.lease, settings_.command_timeout);
  LOG_IF(WARNING, !stopped.ok()) << "scheduler: task " << task.task << " at " << endpoint
                                 << " was not stopped: " << stopped.message();
  // Waits for the next list, which no longer contains the task if the stop was received.
  co_await transport::Sleep(settings_.command_timeout);
  orphans_.erase(task.lease);
}

nlohmann::json gang_controller::DumpLeases() const {
  nlohmann::json dump = nlohmann::json::array();
  for (const auto& [id, record] : store_.active()) {
    if (!state::HoldsWorkers(record.state)) continue;
    for (std::size_t i = 0; i < record.placement.size(); ++i) {
      dump.push_back({{"lease", LeaseOf(record, i)}, {"job", id}, {"vm", record.placement[i].vm}});
    }
  }
  return dump;
}

}  // namespace hickorystall::coordination
