#include "coordination/pool/job_api.h"

#include <set>
#include <utility>
#include <vector>

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
// The same for refusals, which a client may repeat about once a second. The others are accepted.
constexpr double kRefusalRate = 10;
constexpr double kRefusalBurst = 50;
// Time after which a job that was refused meanwhile is submitted again: by then every VM that reads the
// ownership, at least every 0.7 s, knows that the refusal is older.
constexpr milliseconds kRefusedRetry{1000};
// Time for storing a refusal. The rest of the client's time is for the submission that follows if it fails.
constexpr milliseconds kRefusalTimeout{400};
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

// What the rows show after the conditions of a submission or a refusal have failed.
struct job_conflict {
  bool is_known = false;
  bool is_other_workspace = false;
  bool is_cancelled = false;
  // Versions of the tombstones of refusals, by key.
  std::map<std::string, std::int64_t> refusals;

  // Returns the final result of the call, or nullopt if only refusals stand in its way.
  std::optional<job_api_result> Result() const;
};

std::optional<job_api_result> job_conflict::Result() const {
  if (is_other_workspace) return Refuse(error_kind::kIdempotencyKeyReused, "the id belongs to another job");
  // The job was submitted before, or an earlier attempt of this call was applied and its reply was lost.
  if (is_known) return job_api_result{};
  // No attempt of this call was applied or will be: each has the absence of the tombstone as a condition.
  if (is_cancelled) return Refuse(error_kind::kCancelled, "the job was cancelled before");
  return std::nullopt;
}

job_conflict ReadConflict(const std::vector<stored_row>& rows, const job_submission& submission) {
  job_conflict conflict;
  for (const stored_row& row : rows) {
    if (row.version == 0) continue;
    if (row.table == kTombstonesTable && IsRefusal(row.value)) {
      conflict.refusals[row.key] = row.version;
    } else if (row.table == kTombstonesTable) {
      conflict.is_cancelled = true;
    } else if (row.table == kJobsTable) {
      conflict.is_known = true;
      const absl::StatusOr<job_submission> known = DecodeSubmission(submission.id, row.value);
      conflict.is_other_workspace = known.ok() && known->workspace != submission.workspace;
    }
  }
  return conflict;
}

// Returns the transaction that stores a job. `refusals` are the versions of the tombstones that it replaces.
store_transaction MakeSubmission(const job_submission& submission, const std::string& text,
                                 const std::string& progress,
                                 const std::map<std::string, std::int64_t>& refusals) {
  const std::string partition = JobPartition(submission.id);
  store_transaction transaction;
  transaction.conditions = {{kJobsTable, submission.id, 0, partition},
                            {kProgressTable, submission.id, 0, partition}};
  transaction.changes = {{kJobsTable, submission.id, text, partition},
                         {kProgressTable, submission.id, progress, partition}};
  const std::string own_key = TombstoneKey(submission.id, submission.workspace);
  std::set<std::string> keys{TombstoneKey(submission.id, ""), own_key};
  for (const std::string& key : keys) {
    const auto refusal = refusals.find(key);
    const std::int64_t version = refusal == refusals.end() ? 0 : refusal->second;
    transaction.conditions.push_back({kTombstonesTable, key, version, partition});
    if (version != 0 && key == own_key) {
      transaction.changes.push_back({kTombstonesTable, key, std::nullopt, partition});
    }
  }
  return transaction;
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
    : store_(store),
      log_(log),
      limits_(limits),
      tombstone_limit_(kTombstoneRate, kTombstoneBurst),
      refusal_limit_(kRefusalRate, kRefusalBurst) {}

boost::asio::awaitable<job_api_result> job_api::Submit(job_submission submission, boot_time deadline,
                                                       std::int64_t known_version) {
  const absl::Status storable = CheckStorable(submission, limits_);
  if (!storable.ok()) co_return Refuse(error_kind::kJobImpossible, std::string(storable.message()));
  job_entry entry;
  entry.submission = submission;
  const std::string text = EncodeSubmission(submission);
  const std::string progress = EncodeProgress(entry, limits_).row;
  const std::string own_key = TombstoneKey(submission.id, submission.workspace);
  std::map<std::string, std::int64_t> refusals;
  bool outcome_unknown = false;
  while (true) {
    const milliseconds left = deadline - BootNow() - kResponseMargin;
    if (left <= milliseconds(0)) co_return RefuseWrite(outcome_unknown);
    store_transaction transaction = MakeSubmission(submission, text, progress, refusals);
    const transaction_result result =
        co_await store_.Apply(std::move(transaction), std::min(kReplyTimeout, left));
    if (result.outcome == transaction_outcome::kDone) co_return job_api_result{};
    if (result.outcome == transaction_outcome::kConflict) {
      const job_conflict conflict = ReadConflict(result.current, submission);
      if (const std::optional<job_api_result> final_result = conflict.Result()) co_return *final_result;
      // The condition on another row of the job has failed.
      if (conflict.refusals == refusals) co_return job_api_result{};
      refusals = conflict.refusals;
      const auto own = refusals.find(own_key);
      if (own == refusals.end() || own->second <= known_version) continue;
      // The refusal may be one of a later submission by the same client.
      const std::optional<job_api_result> refused = co_await WriteRefusal(submission, own->second, deadline);
      co_return refused ? *refused : RefuseWrite(true);
    }
    if (result.outcome == transaction_outcome::kNotDone) {
      if (result.is_permanent && !outcome_unknown)
        co_return Refuse(error_kind::kJobImpossible, "the store refuses the job");
      co_return RefuseWrite(outcome_unknown);
    }
    outcome_unknown = true;
  }
}

boost::asio::awaitable<std::optional<job_api_result>> job_api::WriteRefusal(const job_submission& job,
                                                                            std::int64_t version,
                                                                            boot_time deadline) {
  const std::string partition = JobPartition(job.id);
  const std::string key = TombstoneKey(job.id, job.workspace);
  while (true) {
    const milliseconds left = deadline - BootNow() - kResponseMargin;
    if (left <= milliseconds(0)) co_return std::nullopt;
    store_transaction transaction;
    transaction.conditions = {{kJobsTable, job.id, 0, partition},
                              {kProgressTable, job.id, 0, partition},
                              {kTombstonesTable, key, version, partition}};
    transaction.changes = {{kTombstonesTable, key, EncodeRefusal(job.id, job.workspace), partition}};
    const transaction_result result =
        co_await store_.Apply(std::move(transaction), std::min(kReplyTimeout, left));
    if (result.outcome == transaction_outcome::kDone) {
      job_api_result refused = Refuse(error_kind::kOverloaded, "the pool cannot serve the job in time");
      refused.retry_after = kRefusedRetry;
      co_return refused;
    }
    if (result.outcome != transaction_outcome::kConflict) co_return std::nullopt;
    const job_conflict conflict = ReadConflict(result.current, job);
    if (std::optional<job_api_result> final_result = conflict.Result()) co_return final_result;
    const auto own = conflict.refusals.find(key);
    const std::int64_t present = own == conflict.refusals.end() ? 0 : own->second;
    // The condition on another row of the job has failed.
    if (present == version) co_return std::nullopt;
    version = present;
  }
}

boost::asio::awaitable<std::optional<job_api_result>> job_api::RefuseOverload(job_submission submission,
                                                                              boot_time deadline,
                                                                              milliseconds retry_after) {
  // Retrying would not help a job that can never be stored.
  const absl::Status storable = CheckStorable(submission, limits_);
  if (!storable.ok()) co_return Refuse(error_kind::kJobImpossible, std::string(storable.message()));
  if (!refusal_limit_.TryConsume(std::chrono::steady_clock::now())) co_return std::nullopt;
  const boot_time end = std::min(deadline, BootNow() + kRefusalTimeout + kResponseMargin);
  std::optional<job_api_result> result = co_await WriteRefusal(submission, 0, end);
  if (result && result->refusal == error_kind::kOverloaded) result->retry_after = retry_after;
  co_return result;
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
