#include "coordination/worker_watcher.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/scheduling/outcome_recording.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

std::string AvoidanceReason(const watched_worker& worker, state::wall_time now) {
  if (worker.leaving) return "leaving or drained";
  if (!worker.reported) return "has not reported its tasks yet";
  if (!worker.reachable) return "is unreachable";
  if (now < worker.score.probation_until) return "on probation after failed tasks";
  return "";
}

}  // namespace

worker_watcher::worker_watcher(protocol::worker_client& client, worker_watcher_settings settings,
                               std::function<void()> on_change)
    : client_(client), settings_(settings), on_change_(std::move(on_change)) {}

void worker_watcher::Watch(const state::cluster_config& config, const asio::any_io_executor& executor) {
  std::map<std::string, std::shared_ptr<watched_worker>> next;
  drained_.clear();
  for (const state::vm_config& vm : config.vms) {
    if (vm.kind != state::vm_kind::kWorker) continue;
    if (vm.drained) drained_.insert(vm.name);
    const auto known = workers_.find(vm.name);
    if (known != workers_.end() && known->second->endpoint == vm.address) {
      next[vm.name] = known->second;
      continue;
    }
    auto worker = std::make_shared<watched_worker>();
    worker->endpoint = vm.address;
    worker->last_reply_at = clock::now();
    next[vm.name] = worker;
  }
  std::swap(next, workers_);
  for (const auto& [name, worker] : workers_) {
    worker->leaving = leaving_.contains(name) || drained_.contains(name);
    const auto old = next.find(name);
    if (old != next.end() && old->second == worker) continue;
    asio::co_spawn(executor, WatchWorker(worker, name), asio::detached);
  }
}

void worker_watcher::Clear() { workers_.clear(); }

void worker_watcher::SetLeaving(std::set<std::string> leaving) {
  leaving_ = std::move(leaving);
  bool changed = false;
  for (const auto& [name, worker] : workers_) {
    const bool now_leaving = leaving_.contains(name) || drained_.contains(name);
    changed = changed || now_leaving != worker->leaving;
    worker->leaving = now_leaving;
  }
  if (changed) on_change_();
}

const watched_worker* worker_watcher::Find(const std::string& name) const {
  const auto found = workers_.find(name);
  return found == workers_.end() ? nullptr : found->second.get();
}

bool worker_watcher::IsWatched(const std::string& name, const std::shared_ptr<watched_worker>& worker) const {
  const auto found = workers_.find(name);
  return found != workers_.end() && found->second == worker;
}

asio::awaitable<void> worker_watcher::WatchWorker(std::shared_ptr<watched_worker> worker, std::string name) {
  while (IsWatched(name, worker)) {
    const clock::time_point requested_at = clock::now();
    // An unreachable worker is queried without a wait, so that its return is noticed at once.
    const bool wait_for_change = worker->reachable;
    const std::int64_t since = wait_for_change ? worker->sequence : -1;
    const milliseconds wait = wait_for_change ? settings_.wait : milliseconds(0);
    const absl::StatusOr<protocol::worker_report> report =
        co_await client_.List(worker->endpoint, since, wait, wait + settings_.grace);
    if (!IsWatched(name, worker)) break;
    if (report.ok()) {
      ApplyReport(*worker, *report, requested_at);
      continue;
    }
    if (worker->reachable) {
      LOG(WARNING) << "scheduler: worker " << name << " is unreachable: " << report.status().message();
      worker->reachable = false;
      on_change_();
    }
    co_await transport::Sleep(settings_.retry);
  }
}

void worker_watcher::ApplyReport(watched_worker& worker, const protocol::worker_report& report,
                                 clock::time_point requested_at) {
  const bool changed =
      !worker.reachable || report.sequence != worker.sequence || report.incarnation != worker.incarnation;
  worker.reachable = true;
  worker.reported = true;
  worker.requested_at = requested_at;
  worker.last_reply_at = clock::now();
  worker.sequence = report.sequence;
  worker.incarnation = report.incarnation;
  worker.tasks.clear();
  for (const protocol::worker_task& task : report.tasks) worker.tasks[task.lease] = task;
  if (changed) on_change_();
}

void worker_watcher::RecordOutcome(const std::string& name, const state::job_record& job, bool succeeded,
                                   state::wall_time now) {
  const auto found = workers_.find(name);
  if (found != workers_.end()) state::RecordOutcome(found->second->score, job, succeeded, now);
}

std::map<std::string, state::worker_status> worker_watcher::Statuses() const {
  std::map<std::string, state::worker_status> statuses;
  for (const auto& [name, worker] : workers_) {
    state::worker_status& status = statuses[name] = worker->score;
    status.available = worker->reported && worker->reachable && !worker->leaving;
  }
  return statuses;
}

json worker_watcher::Dump(state::wall_time now) const {
  json dump = json::object();
  for (const auto& [name, worker] : workers_) {
    dump[name] = {{"endpoint", worker->endpoint},
                  {"reachable", worker->reachable},
                  {"tasks", worker->tasks.size()},
                  {"incarnation", worker->incarnation},
                  {"failures_in_row", worker->score.failures_in_row},
                  {"avoided_because", AvoidanceReason(*worker, now)}};
  }
  return dump;
}

}  // namespace hickorystall::coordination
