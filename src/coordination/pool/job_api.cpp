#include "coordination/pool/job_api.h"

#include "coordination/pool/pool_tables.h"
#include "coordination/pool/tombstone.h"
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
// Tombstones that this VM writes, per second and at once. Together with their lifetime the limit bounds the
// rows that cancellations of arbitrary ids take: 100 VMs write at most 70,000 of about 150 bytes.
constexpr double kTombstoneRate = 10;
constexpr double kTombstoneBurst = 100;
// How often a cancellation looks for its job. A submission that is applied meanwhile takes a second look.
constexpr int kMaxLookups = 3;
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

job_api::job_api(pool_store& store, event_log& log, const progress_limits& limits)
    : store_(store), log_(log), limits_(limits), tombstone_limit_(kTombstoneRate, kTombstoneBurst) {}

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
                              {kProgressTable, submission.id, 0, partition},
                              {kTombstonesTable, TombstoneKey(submission.id, ""), 0, partition}};
    if (!submission.workspace.empty()) {
      transaction.conditions.push_back(
          {kTombstonesTable, TombstoneKey(submission.id, submission.workspace), 0, partition});
    }
    transaction.changes = {{kJobsTable, submission.id, text, partition},
                           {kProgressTable, submission.id, progress, partition}};
    const transaction_result result =
        co_await store_.Apply(std::move(transaction), std::min(kReplyTimeout, left));
    if (result.outcome == transaction_outcome::kDone) co_return job_api_result{};
    if (result.outcome == transaction_outcome::kConflict) {
      // The job was submitted before, or an earlier attempt of this call was applied and its reply was lost.
      bool is_known = false;
      bool is_cancelled = false;
      for (const stored_row& row : result.current) {
        is_cancelled = is_cancelled || (row.table == kTombstonesTable && row.version != 0);
        if (row.table != kJobsTable || row.version == 0) continue;
        is_known = true;
        const absl::StatusOr<job_submission> known = DecodeSubmission(submission.id, row.value);
        if (known.ok() && known->workspace != submission.workspace) {
          co_return Refuse(error_kind::kIdempotencyKeyReused, "the id belongs to another job");
        }
      }
      // No attempt of this call was applied or will be: each has the absence of the tombstone as a condition.
      if (is_cancelled && !is_known) co_return Refuse(error_kind::kCancelled, "the job was cancelled before");
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

boost::asio::awaitable<std::optional<job_api_result>> job_api::ApplyUntil(store_transaction transaction,
                                                                          boot_time deadline) {
  bool outcome_unknown = false;
  while (true) {
    const milliseconds left = deadline - BootNow() - kResponseMargin;
    if (left <= milliseconds(0)) co_return RefuseWrite(outcome_unknown);
    store_transaction attempt = transaction;
    const transaction_result result =
        co_await store_.Apply(std::move(attempt), std::min(kReplyTimeout, left));
    if (result.outcome == transaction_outcome::kDone) co_return job_api_result{};
    if (result.outcome == transaction_outcome::kConflict) co_return std::nullopt;
    if (result.outcome == transaction_outcome::kNotDone) co_return RefuseWrite(outcome_unknown);
    outcome_unknown = true;
  }
}

boost::asio::awaitable<job_api_result> job_api::Cancel(std::string workspace, std::string id,
                                                       boot_time deadline) {
  const std::string partition = JobPartition(id);
  for (int lookup = 0; lookup < kMaxLookups; ++lookup) {
    const job_rows rows = co_await ReadJob(id);
    if (rows.problem) co_return Refuse(*rows.problem, "the state cannot be read");
    store_transaction transaction;
    if (!rows.progress) {
      if (!tombstone_limit_.TryConsume(std::chrono::steady_clock::now()))
        co_return Refuse(error_kind::kRateLimited, "too many cancellations of unknown jobs");
      transaction.conditions = {{kJobsTable, id, 0, partition}, {kProgressTable, id, 0, partition}};
      transaction.changes = {
          {kTombstonesTable, TombstoneKey(id, workspace), EncodeTombstone(id, workspace), partition}};
    } else if (!workspace.empty() && rows.progress->workspace != workspace) {
      // While the id belongs to that job, no submission of it by this workspace can be applied.
      co_return Refuse(error_kind::kJobUnknown, "no such job");
    } else if (rows.is_cancelled || IsFinal(rows.progress->phase)) {
      co_return job_api_result{};
    } else {
      transaction.changes = {{kJobsTable, id + kCancelSuffix, "{}", partition},
                             {kProgressTable, id + kCancelSuffix, "{}", partition}};
    }
    std::optional<job_api_result> result = co_await ApplyUntil(std::move(transaction), deadline);
    // The submission was applied after it was looked for, so there is a job to cancel.
    if (!result) continue;
    if (!result->refusal && !rows.progress) co_return Refuse(error_kind::kJobUnknown, "no such job");
    co_return *std::move(result);
  }
  co_return Refuse(error_kind::kStoreUnavailable, "the rows of the job contradict each other");
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
