#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "coordination/claim_store.h"
#include "coordination/request_router_slots.h"
#include "protocol/executor_client.h"
#include "state/config/cluster_config.h"
#include "state/error_kind.h"
#include "state/metrics/request_metrics.h"
#include "transport/event_loop_pool.h"
#include "transport/http_message.h"

namespace hickorystall::coordination {

/// Settings of the request router.
struct request_router_settings {
  /// Time beyond the timeout of its kind for which the outcome of a non-idempotent request is queried before
  /// it is recorded as unresolved.
  std::chrono::milliseconds settle_limit{30000};
  /// Timeout of one query to a target about an execution.
  std::chrono::milliseconds query_timeout{500};
};

/// A request that was authenticated and checked.
struct routed_request {
  /// Workspace of the caller.
  std::string workspace;
  /// Rules of the request's kind.
  state::work_kind kind;
  std::string body;
  /// Key of a non-idempotent request, else empty.
  std::string idempotency_key;
  /// Time from now to the last byte of the response.
  std::chrono::milliseconds timeout{0};
};

/// Result for the caller: the response of the target or a refusal.
struct routed_result {
  /// Set when the request was refused; empty for a response.
  std::optional<state::error_kind> refusal;
  /// Reason for the refusal, in one sentence.
  std::string message;
  /// Path at which the outcome can be queried; empty when it is known.
  std::string outcome_url;
  /// Status, content type and body of the target's response.
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Sends requests to executors: idempotent ones with retries on other targets, non-idempotent ones at most
/// once under a claim in the table (docs/design.md, sections 5.5, 5.7 and 5.8). Thread-safe.
class request_router {
 public:
  /// The references must outlive the router.
  request_router(protocol::executor_client& executors, request_router_slots& slots, claim_store& claims,
                 state::request_metrics& metrics, transport::event_loop_pool& event_loops,
                 request_router_settings settings);

  /// Runs `request` and returns the result for the caller.
  boost::asio::awaitable<routed_result> Route(routed_request request);
  /// Returns the outcome of the non-idempotent request of `workspace` with `idempotency_key`.
  boost::asio::awaitable<routed_result> Outcome(std::string workspace, std::string idempotency_key);

  /// Ends the background settlements; their claims stay in the table for other gateways.
  void Stop() { stopping_ = true; }
  /// Number of settlements that run in the background.
  int settling() const { return settling_count_; }
  /// Claims whose outcome is being queried.
  nlohmann::json Dump() const;

 private:
  using time_point = std::chrono::steady_clock::time_point;
  // State of a non-idempotent request while it is routed.
  struct claimed_request {
    std::string key;
    std::string outcome_url;
    claim_record claim;
    // Targets that certainly did not run the request.
    std::vector<std::string> excluded;
    // True once a claim of this request may be in the table.
    bool wrote_claim = false;
  };

  boost::asio::awaitable<routed_result> RouteIdempotent(routed_request request, time_point deadline);
  boost::asio::awaitable<routed_result> RouteAtMostOnce(routed_request request, time_point deadline);
  boost::asio::awaitable<protocol::execution_result> Attempt(const routed_request& request,
                                                             const state::chosen_target& target,
                                                             std::string id,
                                                             std::chrono::milliseconds timeout);
  boost::asio::awaitable<std::optional<routed_result>> AttemptClaimed(const routed_request& request,
                                                                      claimed_request& claimed,
                                                                      const state::chosen_target& target,
                                                                      time_point deadline);
  boost::asio::awaitable<routed_result> RespondFromClaim(std::string key, std::string digest,
                                                         std::string outcome_url);
  boost::asio::awaitable<routed_result> SettleUntil(claimed_request claimed, time_point deadline);
  boost::asio::awaitable<bool> QueryTarget(std::string key, claim_record& claim);
  void SettleInBackground(const std::string& key, claim_record claim);
  boost::asio::awaitable<void> Settle(std::string key, claim_record claim);
  routed_result RefuseNotRun(const absl::Status& reason, claimed_request& claimed);

  protocol::executor_client& executors_;
  request_router_slots& slots_;
  claim_store& claims_;
  state::request_metrics& metrics_;
  transport::event_loop_pool& event_loops_;
  const request_router_settings settings_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> settling_count_{0};
  // Guards `settling_`.
  mutable state::ranked_mutex mutex_{state::lock_rank::kClaimTable};
  std::map<std::string, claim_record> settling_;
};

}  // namespace hickorystall::coordination
