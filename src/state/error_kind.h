#pragma once

#include <chrono>
#include <string_view>

namespace hickorystall::state {

/// Every reason for which a caller or operator can be refused. The list is closed.
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

/// Whether the work behind a refused request was run.
enum class execution { kNo, kYes, kUnknown };

/// How a refusal of one kind is answered.
struct error_info {
  /// Kind that the answer belongs to.
  error_kind kind;
  /// Name in the answer's body.
  std::string_view name;
  /// HTTP status code.
  int http_status;
  /// Whether the work was run.
  execution ran;
  /// Delay after which a retry may succeed; zero when a retry is pointless.
  std::chrono::milliseconds retry_after;
};

/// Returns the row of the answer table for `kind`.
const error_info& ErrorInfoFor(error_kind kind);

/// Returns "no", "yes" or "unknown".
std::string_view ExecutionName(execution ran);

}  // namespace hickorystall::state
