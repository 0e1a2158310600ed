#pragma once

#include <ostream>
#include <string>
#include <string_view>

#include "transport/http_client.h"

namespace hickorystall::programs::cli {

/// Error response to a command.
struct refusal {
  /// Error kind, such as "version_conflict"; "unreachable" when no response arrived.
  std::string kind;
  /// HTTP status; 0 when no response arrived.
  int status = 0;
  /// Whether the work ran: "no", "yes" or "unknown".
  std::string ran;
  /// Message of the instance, with the listed errors on lines of their own.
  std::string message;
  /// Milliseconds after which a retry may succeed; 0 when a retry is pointless.
  std::int64_t retry_after_ms = 0;
  /// Path at which the outcome can be queried later; may be empty.
  std::string outcome_url;
};

/// Extracts the refusal from an exchange that failed or whose status is 400 or more.
refusal ReadRefusal(const transport::http_exchange& exchange);

/// Returns a short recommendation on how to proceed.
std::string Advice(const refusal& refused);

/// Prints the kind and message, whether the work ran, and the advice, each on a line of its own.
void PrintRefusal(const refusal& refused, std::ostream& out);

}  // namespace hickorystall::programs::cli
