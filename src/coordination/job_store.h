#pragma once

#include <absl/status/status.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/pool_lease.h"
#include "protocol/table_client.h"
#include "state/scheduling/job.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

/// Settings of the job store.
struct job_store_settings {
  /// Pool whose jobs are kept.
  std::string pool;
  /// Inbox rows that are applied in one transaction. 500 rows of about 700 B stay well below the platform's
  /// limit of 1 MiB for a body.
  std::size_t inbox_batch = 500;
  /// Time limit for confirming a write whose reply was lost.
  std::chrono::milliseconds confirm_timeout{3000};
  /// Time for which a final job can still be read.
  std::chrono::milliseconds retention = std::chrono::hours(24);
  /// Final jobs deleted in one transaction.
  std::size_t expiry_batch = 200;
};

/// A set of changes to jobs that is written atomically.
class job_batch {
 public:
  /// `active` must outlive the batch.
  explicit job_batch(const std::map<std::string, state::job_record>& active) : active_(active) {}

  /// Returns the job for modification, or null when it is final or not known.
  state::job_record* Find(const std::string& id);
  /// Adds `record` under its id.
  void Insert(state::job_record record);
  /// Deletes the row `key`, which may be any row of the pool.
  void Delete(std::string key) { deletes_.push_back(std::move(key)); }

  /// Writes a row that is not a job.
  void Put(std::string key, std::string value) { puts_.push_back({std::move(key), std::move(value)}); }

  /// Changed and added jobs by id.
  const std::map<std::string, state::job_record>& changed() const { return changed_; }
  /// Keys of rows to delete.
  const std::vector<std::string>& deletes() const { return deletes_; }
  /// Rows to write besides the jobs.
  const std::vector<protocol::table_put>& puts() const { return puts_; }

 private:
  const std::map<std::string, state::job_record>& active_;
  std::map<std::string, state::job_record> changed_;
  std::vector<std::string> deletes_;
  std::vector<protocol::table_put> puts_;
};

/// The pool owner's copy of its jobs. Every change is first written to the table, on the condition that the
/// epoch row has not changed. Changes that are requested while a write is in progress are combined into the
/// next write. Not thread-safe: use it on one loop.
class job_store {
 public:
  /// Makes changes. It may be called again for another write only if the first was not applied.
  using change = std::function<void(job_batch&)>;

  /// `table` and `lease` must outlive the store.
  job_store(protocol::table_client& table, pool_lease& lease, job_store_settings settings);

  /// Reads all jobs of the pool. Call it after each acquisition and after a write whose outcome is not known.
  boost::asio::awaitable<absl::Status> Load();
  /// Applies `make_change` to the jobs and writes the result. Returns kAborted when another instance owns the
  /// pool, kUnavailable when nothing was written, and kUnknown when the outcome is not known and Load must be
  /// called.
  boost::asio::awaitable<absl::Status> Commit(change make_change);
  /// Applies the new jobs and cancellations in the inbox. `check` returns why a new job must be refused, or
  /// an empty string. Returns the number of rows in the inbox, including those that stay there.
  boost::asio::awaitable<absl::StatusOr<std::size_t>> ApplyInbox(
      std::function<std::string(const state::job_record&)> check, state::wall_time now);
  /// Deletes final jobs whose retention has expired.
  boost::asio::awaitable<void> DeleteExpired(state::wall_time now);

  /// Jobs that are not final, by id.
  const std::map<std::string, state::job_record>& active() const { return active_; }
  /// Exchanges the jobs with those of a snapshot, to pass them to a decision without a copy. Call it again
  /// right after the decision.
  void SwapActive(std::map<std::string, state::job_record>& jobs) { active_.swap(jobs); }
  /// Returns a job that is not final, or null.
  const state::job_record* Find(const std::string& id) const;
  /// Number of final jobs that are still kept.
  std::size_t final_jobs() const { return final_.size(); }
  /// True when Load must be called before the next write.
  bool stale() const { return stale_; }
  /// Discards all jobs after the ownership is lost.
  void Clear();

 private:
  struct pending_change {
    explicit pending_change(const boost::asio::any_io_executor& executor) : done(executor) {}
    change make_change;
    transport::async_event done;
    absl::Status status;
  };

  boost::asio::awaitable<void> WritePending();
  boost::asio::awaitable<absl::Status> Write(const job_batch& batch);
  void ApplyCommitted(const job_batch& batch);
  void ApplySubmission(job_batch& batch, const protocol::table_row& row,
                       const std::function<std::string(const state::job_record&)>& check,
                       state::wall_time now);
  void ApplyCancellation(job_batch& batch, const protocol::table_row& row, state::wall_time now);

  protocol::table_client& table_;
  pool_lease& lease_;
  const job_store_settings settings_;
  std::map<std::string, state::job_record> active_;
  // End time of each final job, by id.
  std::map<std::string, state::wall_time> final_;
  std::deque<std::shared_ptr<pending_change>> pending_;
  bool writing_ = false;
  bool stale_ = true;
  // Ids of cancellations whose job was not known when the inbox was last read; see ApplyCancellation.
  std::set<std::string> unmatched_cancels_;
  // Keys of inbox rows that were logged as unreadable.
  std::set<std::string> unreadable_;
};

}  // namespace hickorystall::coordination
