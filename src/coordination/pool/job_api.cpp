#include "coordination/pool/job_api.h"

#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using state::error_kind;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Timeout of a store reply, after which the call is repeated on a new connection. The store is slow for long
// periods, with replies that take up to 0.4 s.
constexpr milliseconds kReplyTimeout{700};
// Age at which the counts of waiting jobs are read again. Clients accept counts that are 2 s old.
constexpr milliseconds kCountAge{1000};
// Time reserved for the response to reach the client before the client's timeout.
constexpr milliseconds kResponseMargin{200};

job_api_result Refuse(error_kind kind, std::string message) {
  job_api_result result;
  result.refusal = kind;
  result.message = std::move(message);
  return result;
}

// Returns the refusal of a call whose write is not attempted again. `outcome_unknown` is true when an earlier
// attempt may have been applied: only one that was never sent, or was refused, certainly was not.
job_api_result RefuseWrite(bool outcome_unknown) {
  return outcome_unknown ? Refuse(error_kind::kOutcomeUnknown,
                                  "the store did not reply; repeat the call with the same id")
                         : Refuse(error_kind::kStoreUnavailable, "the store did not accept the write");
}

}  // namespace

boost::asio::awaitable<job_api_result> job_api::Submit(job_submission submission, boot_time deadline) {
  const absl::Status storable = CheckStorable(submission, limits_);
  if (!storable.ok()) co_return Refuse(error_kind::kJobImpossible, std::string(storable.message()));
  job_entry entry;
  entry.submission = submission;
  const std::string partition = JobPartition(submission.id);
  const std::string text = EncodeSubmission(submission);
  const std::string progress = EncodeProgress(entry, limits_).row;
  bool outcome_unknown = false;
  while (true) {
    const milliseconds left = deadline - BootNow() - kResponseMargin;
    if (left <= milliseconds(0)) co_return RefuseWrite(outcome_unknown);
    store_transaction transaction;
    transaction.conditions = {{kJobsTable, submission.id, 0, partition},
                              {kProgressTable, submission.id, 0, partition}};
    transaction.changes = {{kJobsTable, submission.id, text, partition},
                           {kProgressTable, submission.id, progress, partition}};
    const transaction_result result =
        co_await store_.Apply(std::move(transaction), std::min(kReplyTimeout, left));
    if (result.outcome == transaction_outcome::kDone) co_return job_api_result{};
    if (result.outcome == transaction_outcome::kConflict) {
      // The job was submitted before, or an earlier attempt of this call was applied and its reply was lost.
      for (const stored_row& row : result.current) {
        if (row.table != kJobsTable || row.version == 0) continue;
        const absl::StatusOr<job_submission> known = DecodeSubmission(submission.id, row.value);
        if (known.ok() && known->workspace != submission.workspace) {
          co_return Refuse(error_kind::kIdempotencyKeyReused, "the id belongs to another job");
        }
      }
      co_return job_api_result{};
    }
    if (result.outcome == transaction_outcome::kNotDone) {
      if (result.is_permanent && !outcome_unknown)
        co_return Refuse(error_kind::kJobImpossible, "the store refuses the job");
      co_return RefuseWrite(outcome_unknown);
    }
    outcome_unknown = true;
  }
}

boost::asio::awaitable<job_api::job_rows> job_api::ReadJob(std::string id) {
  job_rows rows;
  const rows_result result =
      co_await store_.ReadRange(kProgressTable, JobPartition(id), id, id + kAfterJobSuffix, kReplyTimeout);
  if (!result.status.ok()) {
    rows.problem = error_kind::kStoreUnavailable;
    co_return rows;
  }
  for (const stored_row& row : result.rows) {
    if (row.key == id + kCancelSuffix) rows.is_cancelled = true;
    if (row.key != id) continue;
    const absl::StatusOr<stored_progress> progress = DecodeProgress(row.value);
    if (progress.ok()) {
      rows.progress = *progress;
    } else {
      log_.Write("front", "unreadable progress",
                 {{"id", id}, {"reason", std::string(progress.status().message())}});
      rows.problem = error_kind::kInternal;
    }
  }
  co_return rows;
}

boost::asio::awaitable<job_api_result> job_api::ReadState(std::string workspace, std::string id) {
  const job_rows rows = co_await ReadJob(id);
  if (rows.problem) co_return Refuse(*rows.problem, "the state cannot be read");
  if (!rows.progress || (!workspace.empty() && rows.progress->workspace != workspace)) {
    co_return Refuse(error_kind::kJobUnknown, "no such job");
  }
  job_api_result result;
  result.phase = rows.progress->phase;
  if (rows.is_cancelled && !IsFinal(result.phase)) result.phase = job_phase::kCancelled;
  co_return result;
}

boost::asio::awaitable<job_api_result> job_api::Cancel(std::string workspace, std::string id,
                                                       boot_time deadline) {
  const job_rows rows = co_await ReadJob(id);
  if (rows.problem) co_return Refuse(*rows.problem, "the state cannot be read");
  if (!rows.progress || (!workspace.empty() && rows.progress->workspace != workspace)) {
    co_return Refuse(error_kind::kJobUnknown, "no such job");
  }
  if (rows.is_cancelled || IsFinal(rows.progress->phase)) co_return job_api_result{};
  bool outcome_unknown = false;
  while (true) {
    const milliseconds left = deadline - BootNow() - kResponseMargin;
    if (left <= milliseconds(0)) co_return RefuseWrite(outcome_unknown);
    store_transaction transaction;
    transaction.changes = {{kJobsTable, id + kCancelSuffix, "{}", JobPartition(id)},
                           {kProgressTable, id + kCancelSuffix, "{}", JobPartition(id)}};
    const transaction_result result =
        co_await store_.Apply(std::move(transaction), std::min(kReplyTimeout, left));
    if (result.outcome == transaction_outcome::kDone) co_return job_api_result{};
    if (result.outcome != transaction_outcome::kUnknown) co_return RefuseWrite(outcome_unknown);
    outcome_unknown = true;
  }
}

boost::asio::awaitable<bool> job_api::RefreshCounts() {
  if (counted_at_ != boot_time{} && BootNow() - counted_at_ < kCountAge) co_return true;
  const boot_time read_at = BootNow();
  std::map<std::string, stored_progress> waiting;
  for (const std::string_view partition : kJobPartitions) {
    const rows_result result =
        co_await store_.ReadRange(kProgressTable, std::string(partition), "", "", kReplyTimeout);
    if (!result.status.ok()) co_return false;
    for (const stored_row& row : result.rows) {
      // The key of a cancellation sorts after the key of its job.
      if (row.key.ends_with(kCancelSuffix)) {
        waiting.erase(row.key.substr(0, row.key.size() - (sizeof(kCancelSuffix) - 1)));
        continue;
      }
      const absl::StatusOr<stored_progress> progress = DecodeProgress(row.value);
      if (progress.ok() && progress->phase == job_phase::kQueued) waiting[row.key] = *progress;
    }
  }
  waiting_by_queue_.clear();
  for (const auto& [id, progress] : waiting) ++waiting_by_queue_[progress.queue];
  counted_at_ = read_at;
  co_return true;
}

boost::asio::awaitable<job_api_result> job_api::CountWaiting(std::string queue) {
  const bool counted = co_await RefreshCounts();
  if (!counted) {
    co_return Refuse(error_kind::kStoreUnavailable, "the queue cannot be read");
  }
  job_api_result result;
  const auto found = waiting_by_queue_.find(queue);
  result.waiting_jobs = found == waiting_by_queue_.end() ? 0 : found->second;
  co_return result;
}

}  // namespace hickorystall::coordination::pool
