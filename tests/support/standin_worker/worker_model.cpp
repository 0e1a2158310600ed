#include "worker_model.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>
#include <cstdlib>

#include "protocol/token_hash.h"

namespace hickorystall::standin {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_response;
using transport::JsonResponse;
using fractional_ms = std::chrono::duration<double, std::milli>;

namespace {

// Time for which a call that gets no reply is held open; longer than any client's deadline.
constexpr milliseconds kNoReplyDelay{60000};

bool IsLive(const std::string& state) { return state == "held" || state == "running"; }

http_response DeadLeaseResponse() { return JsonResponse(409, R"({"error":"lease_dead"})"); }

}  // namespace

worker_model::worker_model(std::string name) : name_(std::move(name)), incarnation_(protocol::RandomId()) {}

bool worker_model::ShouldSuppressReply(const http_request& request) {
  const std::lock_guard lock(mutex_);
  if (faults_.unreachable) return true;
  if (faults_.ignore_checkpoint && request.path().ends_with("/checkpoint")) return true;
  if (faults_.lose_starts > 0 && request.method == "POST" && request.path() == "/v1/tasks") {
    --faults_.lose_starts;
    return true;
  }
  return false;
}

asio::awaitable<http_response> worker_model::Handle(http_request request) {
  if (ShouldSuppressReply(request)) {
    co_await transport::Sleep(kNoReplyDelay);
    co_return JsonResponse(503, "{}");
  }
  const std::string path(request.path());
  if (request.method == "GET" && path == "/v1/tasks") co_return co_await List(std::move(request));
  const json body = json::parse(request.body, nullptr, false);
  if (request.method != "POST" || !body.is_object()) co_return JsonResponse(400, "{}");
  try {
    if (path == "/v1/tasks") co_return Start(body);
    if (path == "/v1/leases/renew") co_return Renew(body);
    const std::string prefix = "/v1/tasks/";
    const std::size_t slash = path.rfind('/');
    if (path.starts_with(prefix) && slash > prefix.size()) {
      co_return HandleTaskAction(transport::PercentDecode(path.substr(prefix.size(), slash - prefix.size())),
                                 path.substr(slash + 1), body);
    }
  } catch (const json::exception&) {
    co_return JsonResponse(400, "{}");
  }
  co_return JsonResponse(404, "{}");
}

http_response worker_model::Start(const json& body) {
  const auto now = monotonic_clock::now();
  const std::lock_guard lock(mutex_);
  AdvanceLocked(now);
  const std::string id = body.at("task");
  const std::string lease = body.at("lease");
  if (dead_leases_.contains(lease)) return DeadLeaseResponse();
  const auto known = tasks_.find(id);
  if (known != tasks_.end()) {
    if (known->second.lease != lease || !IsLive(known->second.state)) return DeadLeaseResponse();
    return JsonResponse(200, json{{"state", known->second.state}}.dump());
  }
  simulated_task task;
  task.lease = lease;
  task.run_time = fractional_ms(body.at("run_time_ms").get<double>());
  task.memory_mib = body.at("memory_mib");
  task.accelerators = body.at("accelerators").get<std::vector<int>>();
  task.lease_expiry = now + milliseconds(body.at("lease_ms").get<std::int64_t>());
  task.advanced_to = now;
  // The name of a checkpoint ends in "@" and the progress that it preserves, in milliseconds.
  const std::string checkpoint = body.value("checkpoint", "");
  if (const std::size_t at = checkpoint.rfind('@'); at != std::string::npos) {
    task.progress = fractional_ms(std::strtod(checkpoint.c_str() + at + 1, nullptr));
  }
  simulated_task& placed = tasks_[id] = task;
  SetShare(id, placed, body.at("share"), now);
  NotifyChanged();
  return JsonResponse(200, json{{"state", placed.state}}.dump());
}

http_response worker_model::Renew(const json& body) {
  const auto now = monotonic_clock::now();
  const std::lock_guard lock(mutex_);
  AdvanceLocked(now);
  json renewed = json::array();
  json dead = json::array();
  for (const std::string lease : body.at("leases")) {
    const auto found = std::find_if(tasks_.begin(), tasks_.end(), [&](const auto& entry) {
      return entry.second.lease == lease && IsLive(entry.second.state);
    });
    if (found == tasks_.end()) {
      dead.push_back(lease);
      continue;
    }
    found->second.lease_expiry = now + milliseconds(body.at("lease_ms").get<std::int64_t>());
    renewed.push_back(lease);
  }
  return JsonResponse(200, json{{"renewed", renewed}, {"dead", dead}}.dump());
}

http_response worker_model::HandleTaskAction(const std::string& id, const std::string& action,
                                             const json& body) {
  const auto now = monotonic_clock::now();
  const std::lock_guard lock(mutex_);
  AdvanceLocked(now);
  const std::string lease = body.at("lease");
  const auto found = tasks_.find(id);
  if (action == "stop") {
    dead_leases_.insert(lease);
    if (found != tasks_.end() && found->second.lease == lease) {
      SetState(id, found->second, "stopped", now);
      tasks_.erase(found);
      NotifyChanged();
    }
    return JsonResponse(200, "{}");
  }
  if (dead_leases_.contains(lease)) return DeadLeaseResponse();
  if (found == tasks_.end()) return JsonResponse(404, "{}");
  simulated_task& task = found->second;
  if (task.lease != lease || !IsLive(task.state)) return DeadLeaseResponse();
  if (action == "share") {
    SetShare(id, task, body.at("share"), now);
    NotifyChanged();
    return JsonResponse(200, "{}");
  }
  if (action != "checkpoint") return JsonResponse(404, "{}");
  const auto progress = static_cast<std::int64_t>(task.progress.count());
  return JsonResponse(
      200, json{{"checkpoint", id + "@" + std::to_string(progress)}, {"progress_ms", progress}}.dump());
}

asio::awaitable<http_response> worker_model::List(http_request request) {
  const auto since = std::strtoll(request.QueryParameter("since").c_str(), nullptr, 10);
  const milliseconds wait(std::strtoll(request.QueryParameter("wait_ms").c_str(), nullptr, 10));
  transport::async_event changed(co_await asio::this_coro::executor);
  {
    const std::lock_guard lock(mutex_);
    if (sequence_ != since || wait <= milliseconds(0)) co_return JsonResponse(200, TaskListBody());
    waiters_.push_back(changed);
  }
  co_await changed.Wait(wait);
  bool unreachable = false;
  {
    const std::lock_guard lock(mutex_);
    unreachable = faults_.unreachable;
  }
  if (unreachable) co_await transport::Sleep(kNoReplyDelay);
  const std::lock_guard lock(mutex_);
  co_return JsonResponse(200, TaskListBody());
}

std::string worker_model::TaskListBody() const {
  json tasks = json::array();
  for (const auto& [id, task] : tasks_) {
    tasks.push_back({{"task", id},
                     {"lease", task.lease},
                     {"state", task.state},
                     {"share", task.share},
                     {"progress_ms", static_cast<std::int64_t>(task.progress.count())},
                     {"exit", task.exit},
                     {"memory_mib", task.memory_mib}});
  }
  return json{{"sequence", sequence_}, {"incarnation", incarnation_}, {"tasks", tasks}}.dump();
}

void worker_model::Advance() {
  const std::lock_guard lock(mutex_);
  AdvanceLocked(monotonic_clock::now());
}

void worker_model::AdvanceLocked(monotonic_clock::time_point now) {
  for (auto& [id, task] : tasks_) AdvanceTask(id, task, now);
}

void worker_model::AdvanceTask(const std::string& id, simulated_task& task, monotonic_clock::time_point now) {
  if (!IsLive(task.state)) return;
  const monotonic_clock::time_point end = std::min(now, task.lease_expiry);
  if (task.working && end > task.advanced_to) {
    const fractional_ms left = task.run_time * faults_.run_time_factor - task.progress;
    const fractional_ms worked = fractional_ms(end - task.advanced_to) * task.share;
    if (worked >= left) {
      const auto needed = std::chrono::duration_cast<monotonic_clock::duration>(left / task.share);
      task.progress += left;
      SetState(id, task, "finished", std::max(task.advanced_to, task.advanced_to + needed));
      return NotifyChanged();
    }
    task.progress += worked;
  }
  task.advanced_to = end;
  if (now >= task.lease_expiry) {
    dead_leases_.insert(task.lease);
    SetState(id, task, "lapsed", task.lease_expiry);
    NotifyChanged();
  } else if (task.working && faults_.fail_all) {
    task.exit = 1;
    SetState(id, task, "failed", now);
    NotifyChanged();
  }
}

void worker_model::SetShare(const std::string& id, simulated_task& task, double share,
                            monotonic_clock::time_point at) {
  task.share = share;
  SetState(id, task, share > 0 ? "running" : "held", at);
}

void worker_model::SetState(const std::string& id, simulated_task& task, const std::string& state,
                            monotonic_clock::time_point at) {
  task.state = state;
  RecordWork(id, task, at);
}

void worker_model::RecordWork(const std::string& id, simulated_task& task, monotonic_clock::time_point at) {
  const bool working = task.state == "running" && task.share > 0;
  if (working == task.working) return;
  task.working = working;
  log_.push_back({at, name_, id, task.lease, task.accelerators, working, task.state});
}

void worker_model::NotifyChanged() {
  ++sequence_;
  for (transport::async_event& waiter : waiters_) waiter.Set();
  waiters_.clear();
}

void worker_model::SetFaults(const json& body) {
  const std::lock_guard lock(mutex_);
  AdvanceLocked(monotonic_clock::now());
  faults_.fail_all = body.value("fail_all", faults_.fail_all);
  faults_.ignore_checkpoint = body.value("ignore_checkpoint", faults_.ignore_checkpoint);
  faults_.unreachable = body.value("silent", faults_.unreachable);
  faults_.lose_starts = body.value("lose_starts", faults_.lose_starts);
  faults_.run_time_factor = body.value("run_time_factor", faults_.run_time_factor);
}

void worker_model::Restart() {
  const auto now = monotonic_clock::now();
  const std::lock_guard lock(mutex_);
  AdvanceLocked(now);
  for (auto& [id, task] : tasks_) SetState(id, task, "lost", now);
  tasks_.clear();
  dead_leases_.clear();
  incarnation_ = protocol::RandomId();
  sequence_ = 0;
  NotifyChanged();
}

std::vector<work_event> worker_model::log() const {
  const std::lock_guard lock(mutex_);
  return log_;
}

}  // namespace hickorystall::standin
