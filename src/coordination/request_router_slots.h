#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "state/ranked_mutex.h"
#include "state/routing/admission_queue.h"
#include "state/routing/target_table.h"
#include "state/routing/token_bucket.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

/// Assigns the slots of the executors to the waiting requests of this gateway and enforces the limits of the
/// workspaces. Thread-safe.
class request_router_slots {
 public:
  /// `gateway_count` is the number of live gateways, at least 1. `seed` initializes the random choices.
  request_router_slots(int gateway_count, std::uint64_t seed);

  /// Applies the targets and limits of `config`.
  void Configure(const state::cluster_config& config);
  /// Sets the number of live gateways, at least 1.
  void SetGatewayCount(int count);
  /// Sets the VMs that the platform lists as leaving.
  void SetListedLeaving(std::set<std::string> names);
  /// Targets that reported that they are leaving and that the platform does not list as leaving.
  std::vector<state::chosen_target> ReportedLeaving() const;
  /// Records that a target that reported leaving serves again.
  void RecordServing(const state::chosen_target& target);

  /// Consumes one request of this gateway's share of the workspace's request rate. Returns false when the
  /// rate is exceeded.
  bool AdmitRate(const std::string& workspace);
  /// Records the first attempt of a request for the workspace's retry budget.
  void RecordFirstAttempt(const std::string& workspace);
  /// Consumes one retry of the workspace's budget. Returns false when the budget is used up.
  bool ConsumeRetry(const std::string& workspace);

  /// Waits at most `max_wait` for a target. Returns kResourceExhausted when the wait would be or was too
  /// long, and kUnavailable when no target serves. The caller must call Release for a target.
  boost::asio::awaitable<absl::StatusOr<state::chosen_target>> Acquire(state::priority level,
                                                                       state::target_request request,
                                                                       std::chrono::milliseconds max_wait);
  /// Frees the slot and records how the attempt ended.
  void Release(const state::chosen_target& target, state::attempt_outcome outcome,
               std::optional<int> reported_load);

  /// Assigns slots that become free over time, until `stop` returns true and no request waits.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);

  /// State of the targets, queues and budgets for the dump.
  nlohmann::json Dump() const;
  /// True when the configuration names no executor or some executor serves.
  bool HasServingTarget() const;
  /// Number of requests that wait for a target.
  std::size_t waiting() const;
  /// Number of requests that run on a target.
  int in_flight() const;

 private:
  struct waiter {
    explicit waiter(const boost::asio::any_io_executor& executor) : assigned(executor) {}
    transport::async_event assigned;
    std::optional<state::chosen_target> target;
  };
  struct workspace_limits {
    state::token_bucket rate{0, 0};
    state::retry_budget retries;
  };

  std::optional<state::chosen_target> TryStartUnlocked(const state::target_request& request,
                                                       state::routing_time now);
  void ServeWaitingUnlocked(state::routing_time now);
  absl::Status RefusalUnlocked() const;
  void ConfigureLimitsUnlocked();

  // Guards all members below.
  mutable state::ranked_mutex mutex_{state::lock_rank::kTargetTable};
  state::target_table targets_{{}};
  state::admission_queue queue_;
  std::map<state::admission_queue::ticket, std::shared_ptr<waiter>> waiters_;
  std::map<std::string, workspace_limits> workspaces_;
  std::vector<state::workspace_config> workspace_configs_;
  std::mt19937_64 random_;
  int gateway_count_;
};

}  // namespace hickorystall::coordination
