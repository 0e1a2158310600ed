#include "coordination/request_router.h"

#include <glog/logging.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "protocol/job_codec.h"
#include "protocol/token_hash.h"
#include "state/text.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using protocol::execute_outcome;
using protocol::execution_result;
using state::attempt_outcome;
using state::chosen_target;
using state::error_kind;
using std::chrono::milliseconds;

namespace {

// Intervals between queries to a target about an execution.
constexpr milliseconds kInitialQueryInterval{50};
constexpr milliseconds kMaxQueryInterval{1000};
// Fraction of the remaining time that the single attempt of a non-idempotent request may take. The rest is
// reserved for querying the target for the outcome.
constexpr double kSingleAttemptFraction = 0.75;

milliseconds Remaining(clock::time_point deadline) {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(deadline - clock::now()));
}

routed_result Refuse(error_kind kind, std::string message, std::string outcome_url = {}) {
  routed_result result;
  result.refusal = kind;
  result.message = std::move(message);
  result.outcome_url = std::move(outcome_url);
  return result;
}

routed_result RefuseByStatus(const absl::Status& status) {
  const bool overloaded = absl::IsResourceExhausted(status);
  return Refuse(overloaded ? error_kind::kOverloaded : error_kind::kNoTarget, std::string(status.message()));
}

routed_result ToResult(execution_result&& result) {
  if (result.outcome == execute_outcome::kFailed) return Refuse(error_kind::kTargetFailed, result.message);
  routed_result response;
  response.status = result.status;
  response.content_type = std::move(result.content_type);
  response.body = std::move(result.body);
  return response;
}

routed_result ToResult(const claim_record& claim) {
  if (claim.status >= 500) {
    return Refuse(error_kind::kTargetFailed,
                  state::StrCat("the target responded with status ", claim.status));
  }
  routed_result response;
  response.status = claim.status;
  response.content_type = claim.content_type;
  response.body = claim.body;
  return response;
}

// `usual_timeout` is false when a caller's short timeout may be the only reason for a missing response.
attempt_outcome ToAttemptOutcome(execute_outcome outcome, bool usual_timeout) {
  switch (outcome) {
    case execute_outcome::kResponded:
      return attempt_outcome::kResponded;
    case execute_outcome::kBusy:
      return attempt_outcome::kBusy;
    case execute_outcome::kLeaving:
      return attempt_outcome::kLeaving;
    case execute_outcome::kTimedOut:
      return usual_timeout ? attempt_outcome::kFailed : attempt_outcome::kNeutral;
    default:
      return attempt_outcome::kFailed;
  }
}

milliseconds UsualAttemptTimeout(const state::work_kind& kind) {
  if (!kind.idempotent) {
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(kind.timeout.count()) * kSingleAttemptFraction));
  }
  return kind.timeout / std::max(1, kind.max_attempts);
}

// Returns the refusal of an idempotent request whose last attempt failed and may have run.
routed_result RefuseAfter(const execution_result& last, clock::time_point deadline) {
  if (last.outcome == execute_outcome::kFailed) return Refuse(error_kind::kTargetFailed, last.message);
  const bool late = Remaining(deadline) <= milliseconds(0);
  return Refuse(late ? error_kind::kDeadlineExceeded : error_kind::kOutcomeUnknown, last.message);
}

}  // namespace

request_router::request_router(protocol::executor_client& executors, request_router_slots& slots,
                               claim_store& claims, state::request_metrics& metrics,
                               transport::event_loop_pool& event_loops, request_router_settings settings)
    : executors_(executors),
      slots_(slots),
      claims_(claims),
      metrics_(metrics),
      event_loops_(event_loops),
      settings_(settings) {}

asio::awaitable<routed_result> request_router::Route(routed_request request) {
  const clock::time_point deadline = clock::now() + request.timeout;
  if (!slots_.AdmitRate(request.workspace)) {
    co_return Refuse(error_kind::kRateLimited, "the workspace is above its request rate");
  }
  if (request.kind.idempotent) co_return co_await RouteIdempotent(std::move(request), deadline);
  co_return co_await RouteAtMostOnce(std::move(request), deadline);
}

asio::awaitable<execution_result> request_router::Attempt(const routed_request& request,
                                                          const chosen_target& target, std::string id,
                                                          milliseconds timeout) {
  protocol::execution_request attempt{target.address, std::move(id), request.kind.name, request.body,
                                      timeout};
  execution_result result = co_await executors_.Execute(std::move(attempt));
  const bool usual = timeout >= UsualAttemptTimeout(request.kind);
  slots_.Release(target, ToAttemptOutcome(result.outcome, usual), result.reported_load);
  metrics_.RecordAttempt(target.name, std::string(protocol::ExecuteOutcomeName(result.outcome)),
                         target.retry);
  co_return result;
}

asio::awaitable<routed_result> request_router::RouteIdempotent(routed_request request,
                                                               clock::time_point deadline) {
  const std::string id = protocol::RandomId();
  const milliseconds attempt_timeout = request.timeout / std::max(1, request.kind.max_attempts);
  state::target_request wanted;
  // The last attempt that may have run; without one the request is refused as not run.
  std::optional<execution_result> may_have_run;
  slots_.RecordFirstAttempt(request.workspace);
  for (int attempt = 1;; ++attempt) {
    const milliseconds wait = std::min(Remaining(deadline), request.kind.max_queue);
    const absl::StatusOr<chosen_target> target = co_await slots_.Acquire(request.kind.level, wanted, wait);
    if (!target.ok()) {
      if (may_have_run.has_value()) co_return RefuseAfter(*may_have_run, deadline);
      co_return RefuseByStatus(target.status());
    }
    const milliseconds timeout = std::min(Remaining(deadline), std::max(attempt_timeout, milliseconds(1)));
    execution_result result = co_await Attempt(request, *target, state::StrCat(id, ".", attempt), timeout);
    if (result.outcome == execute_outcome::kResponded) co_return ToResult(std::move(result));
    wanted.excluded.push_back(target->name);
    wanted.retry = true;
    const bool may_retry = attempt < request.kind.max_attempts && Remaining(deadline) > milliseconds(0) &&
                           slots_.ConsumeRetry(request.workspace);
    const std::string message = result.message;
    if (!protocol::ProvesNotRun(result.outcome)) may_have_run = std::move(result);
    if (may_retry) continue;
    if (may_have_run.has_value()) co_return RefuseAfter(*may_have_run, deadline);
    co_return Refuse(error_kind::kNoTarget, message);
  }
}

asio::awaitable<routed_result> request_router::RouteAtMostOnce(routed_request request,
                                                               clock::time_point deadline) {
  claimed_request claimed;
  claimed.key = protocol::ClaimKey(transport::PercentEncode(request.workspace),
                                   transport::PercentEncode(request.idempotency_key));
  claimed.outcome_url = "/v1/outcomes/" + transport::PercentEncode(request.idempotency_key);
  claimed.claim.digest =
      protocol::Sha256Hex(state::StrCat("request/", request.kind.name, "\n", request.body));
  claimed.claim.settle_limit = request.kind.timeout + settings_.settle_limit;
  if (claims_.PendingOutcome(claimed.key).has_value()) {
    co_return co_await RespondFromClaim(claimed.key, claimed.claim.digest, claimed.outcome_url);
  }
  slots_.RecordFirstAttempt(request.workspace);
  for (int attempt = 1;; ++attempt) {
    const milliseconds wait = std::min(Remaining(deadline), request.kind.max_queue);
    // A probe may hang or fail half-way, so only idempotent requests serve as probes.
    const state::target_request wanted{claimed.excluded, false, attempt > 1};
    const absl::StatusOr<chosen_target> target = co_await slots_.Acquire(request.kind.level, wanted, wait);
    if (!target.ok()) co_return RefuseNotRun(target.status(), claimed);
    std::optional<routed_result> result = co_await AttemptClaimed(request, claimed, *target, deadline);
    if (result.has_value()) co_return *result;
    claimed.excluded.push_back(target->name);
    if (attempt >= request.kind.max_attempts || !slots_.ConsumeRetry(request.workspace)) {
      co_return RefuseNotRun(absl::UnavailableError("the targets refused the request"), claimed);
    }
  }
}

routed_result request_router::RefuseNotRun(const absl::Status& reason, claimed_request& claimed) {
  if (claimed.wrote_claim) claims_.Release(claimed.key, claimed.claim);
  return RefuseByStatus(reason);
}

// Claims the key for `target` and sends the request. Returns nullopt when the request certainly did not run
// and may be sent to another target.
asio::awaitable<std::optional<routed_result>> request_router::AttemptClaimed(const routed_request& request,
                                                                             claimed_request& claimed,
                                                                             const chosen_target& target,
                                                                             clock::time_point deadline) {
  claim_record& claim = claimed.claim;
  claim.state = claim_state::kClaimed;
  claim.target = target.name;
  claim.address = target.address;
  claim.execution = protocol::RandomId();
  absl::StatusOr<std::int64_t> version = co_await claims_.Write(claimed.key, claim);
  if (absl::IsAborted(version.status())) {
    const absl::StatusOr<claim_record> existing = co_await claims_.Read(claimed.key);
    const bool free = existing.ok() &&
                      (existing->state == claim_state::kReleased || existing->state == claim_state::kAbsent);
    if (free && !claimed.wrote_claim) {
      claim.version = existing->version;
      version = co_await claims_.Write(claimed.key, claim);
    }
  }
  if (!version.ok()) {
    slots_.Release(target, attempt_outcome::kNeutral, std::nullopt);
    if (absl::IsAborted(version.status())) {
      co_return co_await RespondFromClaim(claimed.key, claim.digest, claimed.outcome_url);
    }
    if (absl::IsUnknown(version.status()) || claimed.wrote_claim) claims_.Release(claimed.key, claim);
    // An earlier request with this key may have run; its outcome is available at `outcome_url`.
    co_return Refuse(error_kind::kStoreUnavailable,
                     "the claim of the idempotency key could not be stored, so this call was not run",
                     claimed.outcome_url);
  }
  claim.version = *version;
  claimed.wrote_claim = true;
  // If this process was paused here, other gateways may already have given up on the request, so it must not
  // be sent.
  if (Remaining(deadline) <= milliseconds(0)) {
    slots_.Release(target, attempt_outcome::kNeutral, std::nullopt);
    co_return RefuseNotRun(absl::ResourceExhaustedError("the timeout expired before the request was sent"),
                           claimed);
  }
  const auto left = static_cast<double>(Remaining(deadline).count());
  const milliseconds timeout(
      std::max<std::int64_t>(1, static_cast<std::int64_t>(left * kSingleAttemptFraction)));
  execution_result result = co_await Attempt(request, target, claim.execution, timeout);
  if (protocol::ProvesNotRun(result.outcome)) co_return std::nullopt;
  if (result.outcome != execute_outcome::kResponded && result.outcome != execute_outcome::kFailed) {
    co_return co_await SettleUntil(claimed, deadline);
  }
  claim.state = claim_state::kDone;
  claim.status = result.status;
  claim.content_type = result.content_type;
  claim.body = result.body;
  claims_.Complete(claimed.key, claim);
  co_return ToResult(std::move(result));
}

asio::awaitable<routed_result> request_router::RespondFromClaim(std::string key, std::string digest,
                                                                std::string outcome_url) {
  absl::StatusOr<claim_record> read = co_await claims_.Read(key);
  // The key is claimed, so it is not known whether the work ran.
  if (!read.ok()) {
    co_return Refuse(error_kind::kOutcomeUnknown, "the outcome of this idempotency key cannot be read now",
                     outcome_url);
  }
  claim_record claim = std::move(*read);
  if (!digest.empty() && !claim.digest.empty() && claim.digest != digest) {
    co_return Refuse(error_kind::kIdempotencyKeyReused, "the idempotency key was used for another request");
  }
  if (claim.state == claim_state::kClaimed && !co_await QueryTarget(key, claim)) {
    SettleInBackground(key, claim);
    co_return Refuse(error_kind::kDuplicateInProgress, "a request with this idempotency key is in progress",
                     outcome_url);
  }
  switch (claim.state) {
    case claim_state::kDone:
      co_return ToResult(claim);
    case claim_state::kUnresolved:
      co_return Refuse(error_kind::kOutcomeUnknown,
                       "the target could not report the outcome of this request");
    default:
      co_return Refuse(error_kind::kNotFound, "no request with this idempotency key has run");
  }
}

// Queries the target for the outcome. Returns true when it is known; `claim` then has it and it is being
// stored.
asio::awaitable<bool> request_router::QueryTarget(std::string key, claim_record& claim) {
  const auto record = co_await executors_.Query(claim.address, claim.execution, settings_.query_timeout);
  if (!record.ok() || record->state != protocol::execution_record::phase::kFinished) co_return false;
  claim.state = claim_state::kDone;
  claim.status = record->status;
  claim.content_type = "application/json";
  claim.body = record->body;
  claims_.Complete(key, claim);
  co_return true;
}

asio::awaitable<routed_result> request_router::SettleUntil(claimed_request claimed,
                                                           clock::time_point deadline) {
  LOG(INFO) << "gateway: outcome of " << claimed.key << " is not known, querying " << claimed.claim.target;
  milliseconds interval = kInitialQueryInterval;
  for (;;) {
    if (co_await QueryTarget(claimed.key, claimed.claim)) co_return ToResult(claimed.claim);
    if (Remaining(deadline) <= interval) break;
    co_await transport::Sleep(interval);
    interval = std::min(interval * 2, kMaxQueryInterval);
  }
  SettleInBackground(claimed.key, claimed.claim);
  co_return Refuse(error_kind::kOutcomeUnknown, "the target has not yet reported the outcome of the request",
                   claimed.outcome_url);
}

void request_router::SettleInBackground(const std::string& key, claim_record claim) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || !settling_.emplace(key, claim).second) return;
  }
  ++settling_count_;
  asio::co_spawn(
      event_loops_.next(), [this, key, claim] { return Settle(key, claim); }, asio::detached);
}

asio::awaitable<void> request_router::Settle(std::string key, claim_record claim) {
  const clock::time_point end = clock::now() + claim.settle_limit;
  milliseconds interval = kInitialQueryInterval;
  bool settled = false;
  while (!settled && !stopping_ && clock::now() < end) {
    co_await transport::Sleep(interval);
    interval = std::min(interval * 2, kMaxQueryInterval);
    settled = co_await QueryTarget(key, claim);
  }
  if (!settled && !stopping_) {
    // An "unknown" reply from the target does not prove that the request never ran there: the target may have
    // restarted, and data of a paused sender may still be in transit. The key is therefore closed
    // permanently.
    LOG(WARNING) << "gateway: outcome of " << key << " stays unresolved, target " << claim.target;
    claim.state = claim_state::kUnresolved;
    claims_.Complete(key, claim);
  }
  {
    const std::lock_guard lock(mutex_);
    settling_.erase(key);
  }
  --settling_count_;
}

asio::awaitable<routed_result> request_router::Outcome(std::string workspace, std::string idempotency_key) {
  const std::string encoded = transport::PercentEncode(idempotency_key);
  std::string key = protocol::ClaimKey(transport::PercentEncode(workspace), encoded);
  co_return co_await RespondFromClaim(std::move(key), "", "/v1/outcomes/" + encoded);
}

json request_router::Dump() const {
  const std::lock_guard lock(mutex_);
  json result = json::object();
  for (const auto& [key, claim] : settling_) {
    result[key] = {{"target", claim.target}, {"address", claim.address}, {"execution", claim.execution}};
  }
  return result;
}

}  // namespace hickorystall::coordination
