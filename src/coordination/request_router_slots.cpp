#include "coordination/request_router_slots.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using state::chosen_target;

namespace {

// Interval at which waiting requests are assigned to targets that become available over time: for a probe or
// after a busy pause.
constexpr std::chrono::milliseconds kServeInterval{20};

}  // namespace

request_router_slots::request_router_slots(int gateway_count, std::uint64_t seed)
    : random_(seed), gateway_count_(gateway_count) {
  targets_.SetGatewayCount(gateway_count);
}

void request_router_slots::Configure(const state::cluster_config& config) {
  const std::lock_guard lock(mutex_);
  targets_.Configure(config);
  workspace_configs_ = config.workspaces;
  ConfigureLimitsUnlocked();
  ServeWaitingUnlocked(clock::now());
}

void request_router_slots::ConfigureLimitsUnlocked() {
  std::map<std::string, workspace_limits> kept;
  for (const state::workspace_config& workspace : workspace_configs_) {
    const double rate = workspace.request_rate / gateway_count_;
    // A share below one token would admit nothing at all.
    const double burst = std::max(1.0, workspace.request_burst / gateway_count_);
    const auto known = workspaces_.find(workspace.name);
    workspace_limits limits;
    limits.rate = state::token_bucket(rate, burst);
    if (known != workspaces_.end()) limits = known->second;
    limits.rate.Configure(rate, burst);
    kept.emplace(workspace.name, limits);
  }
  workspaces_ = std::move(kept);
}

void request_router_slots::SetGatewayCount(int count) {
  const std::lock_guard lock(mutex_);
  gateway_count_ = count;
  targets_.SetGatewayCount(count);
  ConfigureLimitsUnlocked();
}

void request_router_slots::SetListedLeaving(std::set<std::string> names) {
  const std::lock_guard lock(mutex_);
  targets_.SetListedLeaving(std::move(names));
}

std::vector<chosen_target> request_router_slots::ReportedLeaving() const {
  const std::lock_guard lock(mutex_);
  return targets_.ReportedLeaving();
}

void request_router_slots::RecordServing(const chosen_target& target) {
  const std::lock_guard lock(mutex_);
  targets_.RecordServing(target);
}

bool request_router_slots::AdmitRate(const std::string& workspace) {
  const std::lock_guard lock(mutex_);
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() || found->second.rate.TryConsume(clock::now());
}

void request_router_slots::RecordFirstAttempt(const std::string& workspace) {
  const std::lock_guard lock(mutex_);
  const auto found = workspaces_.find(workspace);
  if (found != workspaces_.end()) found->second.retries.RecordFirstAttempt();
}

bool request_router_slots::ConsumeRetry(const std::string& workspace) {
  const std::lock_guard lock(mutex_);
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end() || !found->second.retries.MayRetry()) return false;
  found->second.retries.ConsumeRetry();
  return true;
}

std::optional<chosen_target> request_router_slots::TryStartUnlocked(const state::target_request& request,
                                                                    state::routing_time now) {
  std::optional<chosen_target> target = targets_.Choose(request, now, random_);
  if (target.has_value()) targets_.Start(*target);
  return target;
}

absl::Status request_router_slots::RefusalUnlocked() const {
  if (!targets_.HasServingTarget()) return absl::UnavailableError("no target serves now");
  return absl::ResourceExhaustedError("all targets are in use");
}

asio::awaitable<absl::StatusOr<chosen_target>> request_router_slots::Acquire(
    state::priority level, state::target_request request, std::chrono::milliseconds max_wait) {
  const auto self = std::make_shared<waiter>(co_await asio::this_coro::executor);
  state::admission_queue::ticket ticket = 0;
  {
    const std::lock_guard lock(mutex_);
    const clock::time_point now = clock::now();
    if (!queue_.HasWaiting(level)) {
      if (const auto target = TryStartUnlocked(request, now)) co_return *target;
    }
    if (max_wait <= std::chrono::milliseconds(0) || queue_.WouldExpire(level, max_wait, now)) {
      co_return RefusalUnlocked();
    }
    ticket = queue_.Add(level, std::move(request));
    waiters_.emplace(ticket, self);
  }
  co_await self->assigned.Wait(max_wait);
  const std::lock_guard lock(mutex_);
  waiters_.erase(ticket);
  if (self->target.has_value()) co_return *self->target;
  queue_.Remove(ticket);
  co_return RefusalUnlocked();
}

void request_router_slots::ServeWaitingUnlocked(state::routing_time now) {
  queue_.Serve([&](state::admission_queue::ticket ticket, const state::target_request& request) {
    const std::optional<chosen_target> target = TryStartUnlocked(request, now);
    if (!target.has_value()) return false;
    const std::shared_ptr<waiter>& served = waiters_.at(ticket);
    served->target = target;
    served->assigned.Set();
    return true;
  });
}

void request_router_slots::Release(const chosen_target& target, state::attempt_outcome outcome,
                                   std::optional<int> reported_load) {
  const std::lock_guard lock(mutex_);
  const clock::time_point now = clock::now();
  targets_.Finish(target, outcome, reported_load, now);
  if (outcome == state::attempt_outcome::kResponded) queue_.RecordCompletion(now);
  ServeWaitingUnlocked(now);
}

asio::awaitable<void> request_router_slots::Run(std::function<bool()> stop) {
  while (!stop() || waiting() > 0) {
    co_await transport::Sleep(kServeInterval);
    const std::lock_guard lock(mutex_);
    ServeWaitingUnlocked(clock::now());
  }
}

json request_router_slots::Dump() const {
  const std::lock_guard lock(mutex_);
  const clock::time_point now = clock::now();
  json targets = json::array();
  for (const state::target_explanation& target : targets_.Explain(now)) {
    targets.push_back({{"name", target.name},
                       {"standing", target.health},
                       {"in_flight", target.in_flight},
                       {"others", target.others},
                       {"score", target.score},
                       {"failures_in_row", target.failures_in_row},
                       {"retry_allowance", target.retry_allowance}});
  }
  json workspaces = json::object();
  for (const auto& [name, limits] : workspaces_) {
    workspaces[name] = {{"rate_tokens", limits.rate.tokens()},
                        {"retry_allowance", limits.retries.allowance()}};
  }
  const auto sizes = queue_.sizes();
  return {{"targets", targets},
          {"workspaces", workspaces},
          {"waiting", {{"urgent", sizes[0]}, {"normal", sizes[1]}, {"patient", sizes[2]}}},
          {"completions_per_second", queue_.completion_rate(now)},
          {"gateway_count", gateway_count_}};
}

bool request_router_slots::HasServingTarget() const {
  const std::lock_guard lock(mutex_);
  return targets_.HasServingTarget();
}

std::size_t request_router_slots::waiting() const {
  const std::lock_guard lock(mutex_);
  const auto sizes = queue_.sizes();
  return sizes[0] + sizes[1] + sizes[2];
}

int request_router_slots::in_flight() const {
  const std::lock_guard lock(mutex_);
  return targets_.in_flight();
}

}  // namespace hickorystall::coordination
