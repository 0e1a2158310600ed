#pragma once

#include <chrono>
#include <string_view>

namespace hickorystall::state {

/// Every reason for refusing a call of a client or an operator. The list is complete.
enum class error_kind {
  kBadRequest,
  kBodyTooLarge,
  kHeadersTooLarge,
  kRequestTimeout,
  kUnauthorized,
  kForbidden,
  kNotFound,
  kMethodNotAllowed,
  kUnknownKind,
  kMissingIdempotencyKey,
  kIdempotencyKeyReused,
  kDuplicateInProgress,
  kRateLimited,
  kOverloaded,
  kQuotaExceeded,
  kJobImpossible,
  kJobMissesDeadline,
  kInvalidConfiguration,
  kVersionConflict,
  kStoreUnavailable,
  kNoTarget,
  kTargetFailed,
  kOutcomeUnknown,
  kCancelled,
  kDeadlineExceeded,
  kNotReady,
  kJobUnknown,
  kInternal,
};

/// Whether the work of a refused request was executed.
enum class execution { kNo, kYes, kUnknown };

/// The response to a refusal of one kind.
struct error_info {
  error_kind kind;
  /// Name of the kind in the response body and in the metrics.
  std::string_view name;
  int http_status;
  execution ran;
  /// Delay after which a retry may succeed; zero when a retry cannot succeed.
  std::chrono::milliseconds retry_after;
};

/// Returns the entry of the table of error kinds for `kind`.
const error_info& ErrorInfoFor(error_kind kind);

/// Returns the text used in responses and logs: "no", "yes" or "unknown".
std::string_view ExecutionName(execution ran);

}  // namespace hickorystall::state
