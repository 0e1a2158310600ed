#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

#include "state/pool/job_entry.h"
#include "state/pool/pool_settings.h"

namespace hickorystall::coordination::pool {

/// Progress of a job as it is stored.
struct stored_progress {
  /// Queue and workspace of the job, so that this row alone is enough for state queries and queue counts.
  std::string queue;
  std::string workspace;
  state::pool::job_phase phase = state::pool::job_phase::kQueued;
  /// True for a job with occurrences at scheduled times.
  bool is_scheduled = false;
};

/// Sizes that the encoded progress of a job must not exceed, in bytes.
struct progress_limits {
  /// Of one row.
  std::size_t row_bytes = 65'536;
  /// Of all rows.
  std::size_t total_bytes = 524'288;
  /// False if checkpoints are left out whether or not they fit.
  bool has_checkpoints = true;
};

/// Progress of a job as it is stored.
struct encoded_progress {
  /// Row of the progress table.
  std::string row;
  /// Its continuations, in order; empty if everything fits into `row`.
  std::vector<std::string> extra_rows;
  /// Number of checkpoints that were left out. Their units would start from the beginning under a later
  /// owner.
  int dropped_checkpoints = 0;

  std::size_t size() const;
};

/// Encodes a submission. The encoded row never changes.
std::string EncodeSubmission(const state::pool::job_submission& submission);
/// Decodes a row of the jobs table.
absl::StatusOr<state::pool::job_submission> DecodeSubmission(std::string_view id, std::string_view text);

/// Returns the limits that result from `settings`.
progress_limits MakeProgressLimits(const state::pool::pool_settings& settings);
/// Returns InvalidArgument with the exceeded limit if a job with this submission could not be stored.
absl::Status CheckStorable(const state::pool::job_submission& submission, const progress_limits& limits);
/// Encodes the progress of `job`. No row exceeds its limit. As many checkpoints as necessary are left out so
/// that all rows together keep theirs, the longest first; the other parts are bounded by the
/// `progress_budget` of the planner.
encoded_progress EncodeProgress(const state::pool::job_entry& job, const progress_limits& limits = {});
/// Decodes a row of the progress table, except for its occurrences.
absl::StatusOr<stored_progress> DecodeProgress(std::string_view text);
/// Returns whether a row of the progress table is continued in other rows. Does not parse it.
bool IsContinued(std::string_view text);
/// Restores the phase and the occurrences of `job` from a row of the progress table and the concatenation of
/// its continuations.
absl::Status RestoreProgress(std::string_view text, std::string_view continuation,
                             state::pool::job_entry& job);

}  // namespace hickorystall::coordination::pool
