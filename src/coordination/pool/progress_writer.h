#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/pool/partition_writer.h"

namespace hickorystall::coordination::pool {

/// Stores the progress of changed jobs. Each partition has its own writer, so that a slow or failing
/// partition does not delay the others.
class progress_writer {
 public:
  /// The arguments must outlive the writer.
  progress_writer(pool_store& store, event_log& log, ownership& owner, state::pool::pool_state& state,
                  const boost::asio::any_io_executor& executor);

  /// Stores changes from now on, until Stop. `spawn` runs a loop and must keep the writer alive while it
  /// runs.
  void Start(const std::function<void(boost::asio::awaitable<void>)>& spawn);
  void Stop();
  /// Notifies the writer that jobs may have changed.
  void Notify() { DistributeChanges(); }
  /// Waits until all changes made before the call are stored, for at most `timeout`. Returns true when they
  /// are stored.
  boost::asio::awaitable<bool> WaitStored(std::chrono::milliseconds timeout);
  /// Waits until all changes of `jobs` made before the call are stored, for at most `timeout`. Returns the
  /// jobs with changes that are not stored then.
  boost::asio::awaitable<std::set<std::string>> WaitJobsStored(std::set<std::string> jobs,
                                                               std::chrono::milliseconds timeout);
  /// Like WaitJobsStored for one job. Returns true when its changes are stored.
  boost::asio::awaitable<bool> WaitJobStored(std::string job, std::chrono::milliseconds timeout);
  /// False while the store confirms writes in no partition.
  bool is_storing() const;
  /// Returns the number of jobs whose progress the store refuses for good.
  int CountRefusedJobs() const;
  /// Returns the number of checkpoints of open jobs that are left out of the stored progress.
  int CountDroppedCheckpoints() const;
  /// Removes the rows of a forgotten job with the next transaction.
  void Remove(const std::string& job) { WriterOf(job).Remove(job); }

 private:
  void DistributeChanges();
  partition_writer& WriterOf(const std::string& job);

  state::pool::pool_state& state_;
  // In the order of kJobPartitions.
  std::vector<std::unique_ptr<partition_writer>> writers_;
};

}  // namespace hickorystall::coordination::pool
