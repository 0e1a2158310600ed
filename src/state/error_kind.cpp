#include "state/error_kind.h"

#include <array>
#include <cassert>
#include <cstddef>

namespace hickorystall::state {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoRetry{0};

// In the order of error_kind. No other code chooses the HTTP status of an error response.
constexpr std::array kErrorInfos{
    error_info{error_kind::kBadRequest, "bad_request", 400, execution::kNo, kNoRetry},
    error_info{error_kind::kBodyTooLarge, "body_too_large", 413, execution::kNo, kNoRetry},
    error_info{error_kind::kHeadersTooLarge, "headers_too_large", 431, execution::kNo, kNoRetry},
    error_info{error_kind::kRequestTimeout, "request_timeout", 408, execution::kNo, kNoRetry},
    error_info{error_kind::kUnauthorized, "unauthorized", 401, execution::kNo, kNoRetry},
    error_info{error_kind::kForbidden, "forbidden", 403, execution::kNo, kNoRetry},
    error_info{error_kind::kNotFound, "not_found", 404, execution::kNo, kNoRetry},
    error_info{error_kind::kMethodNotAllowed, "method_not_allowed", 405, execution::kNo, kNoRetry},
    error_info{error_kind::kUnknownKind, "unknown_kind", 404, execution::kNo, kNoRetry},
    error_info{error_kind::kMissingIdempotencyKey, "missing_idempotency_key", 400, execution::kNo, kNoRetry},
    error_info{error_kind::kIdempotencyKeyReused, "idempotency_key_reused", 422, execution::kNo, kNoRetry},
    error_info{error_kind::kDuplicateInProgress, "duplicate_in_progress", 409, execution::kUnknown,
               milliseconds{1000}},
    error_info{error_kind::kRateLimited, "rate_limited", 429, execution::kNo, milliseconds{1000}},
    error_info{error_kind::kOverloaded, "overloaded", 503, execution::kNo, milliseconds{1000}},
    error_info{error_kind::kQuotaExceeded, "quota_exceeded", 429, execution::kNo, milliseconds{5000}},
    error_info{error_kind::kJobImpossible, "job_impossible", 422, execution::kNo, kNoRetry},
    error_info{error_kind::kJobMissesDeadline, "job_misses_deadline", 422, execution::kNo, kNoRetry},
    error_info{error_kind::kInvalidConfiguration, "invalid_configuration", 422, execution::kNo, kNoRetry},
    error_info{error_kind::kVersionConflict, "version_conflict", 409, execution::kNo, kNoRetry},
    error_info{error_kind::kStoreUnavailable, "store_unavailable", 503, execution::kNo, milliseconds{2000}},
    error_info{error_kind::kNoTarget, "no_target", 503, execution::kNo, milliseconds{1000}},
    error_info{error_kind::kTargetFailed, "target_failed", 502, execution::kYes, kNoRetry},
    error_info{error_kind::kOutcomeUnknown, "outcome_unknown", 504, execution::kUnknown, milliseconds{1000}},
    error_info{error_kind::kCancelled, "cancelled", 409, execution::kNo, kNoRetry},
    error_info{error_kind::kDeadlineExceeded, "deadline_exceeded", 504, execution::kUnknown, kNoRetry},
    error_info{error_kind::kNotReady, "not_ready", 503, execution::kNo, milliseconds{1000}},
    error_info{error_kind::kJobUnknown, "job_unknown", 410, execution::kNo, kNoRetry},
    error_info{error_kind::kInternal, "internal", 500, execution::kUnknown, kNoRetry},
};

}  // namespace

const error_info& ErrorInfoFor(error_kind kind) {
  const auto index = static_cast<std::size_t>(kind);
  assert(index < kErrorInfos.size() && kErrorInfos[index].kind == kind);
  return kErrorInfos[index];
}

std::string_view ExecutionName(execution ran) {
  switch (ran) {
    case execution::kNo:
      return "no";
    case execution::kYes:
      return "yes";
    case execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace hickorystall::state
