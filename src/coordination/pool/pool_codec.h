#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>

#include "state/pool/job_entry.h"

namespace hickorystall::coordination::pool {

/// Progress of a job as it is stored.
struct stored_progress {
  /// Queue and workspace, so that this row alone answers for state and queue length.
  std::string queue;
  std::string workspace;
  state::pool::job_phase phase = state::pool::job_phase::kQueued;
  /// True for a job that runs at due times.
  bool is_scheduled = false;
  /// JSON of the occurrences; empty at first.
  std::string occurrences;
};

/// Encodes what a client submitted; it never changes.
std::string EncodeSubmission(const state::pool::job_submission& submission);
/// Decodes a row of the jobs table.
absl::StatusOr<state::pool::job_submission> DecodeSubmission(std::string_view id, std::string_view text);

/// Encodes the progress of `job`.
std::string EncodeProgress(const state::pool::job_entry& job);
/// Decodes a row of the progress table without its occurrences.
absl::StatusOr<stored_progress> DecodeProgress(std::string_view text);
/// Fills phase and occurrences of `job` from a row of the progress table.
absl::Status RestoreProgress(std::string_view text, state::pool::job_entry& job);

}  // namespace hickorystall::coordination::pool
