#pragma once

#include <ostream>
#include <string>
#include <string_view>

#include "transport/http_client.h"

namespace hickorystall::programs::cli {

/// Why a command was refused.
struct refusal {
  /// Kind of the error, such as "version_conflict"; "unreachable" when there was no answer.
  std::string kind;
  /// HTTP status; 0 when there was no answer.
  int status = 0;
  /// Whether the work ran: "no", "yes" or "unknown".
  std::string ran;
  /// One sentence from the instance.
  std::string message;
  /// Milliseconds after which a retry may succeed; 0 when a retry is pointless.
  std::int64_t retry_after_ms = 0;
  /// Path that tells the outcome later; may be empty.
  std::string outcome_url;
};

/// Reads the refusal out of an exchange that failed or has a status of 400 or more.
refusal ReadRefusal(const transport::http_exchange& exchange);

/// Returns what the user should do, in one sentence.
std::string Advice(const refusal& refused);

/// Prints kind, message, whether the work ran and the advice, one line each.
void PrintRefusal(const refusal& refused, std::ostream& out);

}  // namespace hickorystall::programs::cli
