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
  /// Inbox rows taken up in one transaction. 500 rows of about 700 B stay well below the platform's 1 MiB
  /// body.
  std::size_t inbox_batch = 500;
  /// Time for which a lost reply of a write is asked after.
  std::chrono::milliseconds confirm_timeout{3000};
  /// Time for which a final job can still be read.
  std::chrono::milliseconds retention = std::chrono::hours(24);
  /// Final jobs deleted in one transaction.
  std::size_t expiry_batch = 200;
};

/// A set of changes to jobs that is written as a whole or not at all.
class job_batch {
 public:
  /// `active` must outlive the batch.
  explicit job_batch(const std::map<std::string, state::job_record>& active) : active_(active) {}

  /// Returns a job that is not final for changing, or null.
  state::job_record* Find(const std::string& id);
  /// Adds a job.
  void Insert(state::job_record record);
  /// Deletes a row.
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

/// The pool owner's copy of its jobs. Every change is first written to the table, on condition of the epoch
/// row. Changes that are requested while a write is under way go into the next write together. Not
/// thread-safe: use it on one loop.
class job_store {
 public:
  /// Makes changes; it may be called again for another write only if the first was not applied.
  using change = std::function<void(job_batch&)>;

  /// `table` and `lease` must outlive the store.
  job_store(protocol::table_client& table, pool_lease& lease, job_store_settings settings);

  /// Reads all jobs of the pool. Call it after each acquisition and after a write whose outcome is not known.
  boost::asio::awaitable<absl::Status> Load();
  /// Applies `change` to the jobs and writes the result. kAborted when another instance owns the pool,
  /// kUnavailable when nothing was written, kUnknown when the outcome is not known and Load is due.
  boost::asio::awaitable<absl::Status> Commit(change make_change);
  /// Takes up new jobs and cancels from the inbox. `check` returns why a new job must be refused, or an empty
  /// string. Returns the number of rows taken up.
  boost::asio::awaitable<absl::StatusOr<std::size_t>> TakeInbox(
      std::function<std::string(const state::job_record&)> check, state::wall_time now);
  /// Deletes final jobs whose retention is over.
  boost::asio::awaitable<void> DeleteExpired(state::wall_time now);

  /// Jobs that are not final, by id.
  const std::map<std::string, state::job_record>& active() const { return active_; }
  /// Exchanges the jobs with those of a snapshot, to pass them to a decision without a copy. Call it again
  /// after the decision, before anything else.
  void SwapActive(std::map<std::string, state::job_record>& jobs) { active_.swap(jobs); }
  /// Returns a job that is not final, or null.
  const state::job_record* Find(const std::string& id) const;
  /// Final jobs that are still kept.
  std::size_t final_jobs() const { return final_.size(); }
  /// True when a Load is due.
  bool stale() const { return stale_; }
  /// Drops everything, after the ownership was lost.
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
  void Install(const job_batch& batch);
  void TakeSubmit(job_batch& batch, const protocol::table_row& row,
                  const std::function<std::string(const state::job_record&)>& check, state::wall_time now);
  void TakeCancel(job_batch& batch, const protocol::table_row& row, state::wall_time now);

  protocol::table_client& table_;
  pool_lease& lease_;
  const job_store_settings settings_;
  std::map<std::string, state::job_record> active_;
  // Time at which each final job ended.
  std::map<std::string, state::wall_time> final_;
  std::deque<std::shared_ptr<pending_change>> pending_;
  bool writing_ = false;
  bool stale_ = true;
  // Cancels of jobs that were not known at the last look; see TakeCancel.
  std::set<std::string> early_cancels_;
  // Inbox rows that were reported as unreadable.
  std::set<std::string> unreadable_;
};

}  // namespace hickorystall::coordination
