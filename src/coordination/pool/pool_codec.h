#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

#include "state/pool/job_entry.h"

namespace hickorystall::coordination::pool {

/// Progress of a job as it is stored.
struct stored_progress {
  /// Queue and workspace of the job, so that this row alone is enough for state queries and queue counts.
  std::string queue;
  std::string workspace;
  state::pool::job_phase phase = state::pool::job_phase::kQueued;
  /// True for a job with occurrences at scheduled times.
  bool is_scheduled = false;
  /// JSON of the occurrences; empty before the first one.
  std::string occurrences;
};

/// Encodes a submission. The encoded row never changes.
std::string EncodeSubmission(const state::pool::job_submission& submission);
/// Decodes a row of the jobs table.
absl::StatusOr<state::pool::job_submission> DecodeSubmission(std::string_view id, std::string_view text);

/// Encodes the progress of `job`.
std::string EncodeProgress(const state::pool::job_entry& job);
/// Decodes a row of the progress table, except for its occurrences.
absl::StatusOr<stored_progress> DecodeProgress(std::string_view text);
/// Restores the phase and the occurrences of `job` from a row of the progress table.
absl::Status RestoreProgress(std::string_view text, state::pool::job_entry& job);

}  // namespace hickorystall::coordination::pool
