#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "coordination/pool/partition_writer.h"

namespace hickorystall::coordination::pool {

/// Stores the progress of changed jobs. Each partition has a writer of its own, so that a slow or failing one
/// does not hold up the others.
class progress_writer {
 public:
  /// The arguments must outlive the writer.
  progress_writer(pool_store& store, event_log& log, ownership& owner, state::pool::pool_state& state,
                  const boost::asio::any_io_executor& executor);

  /// Starts to store changes, until Stop. `spawn` runs a loop and keeps the writer alive meanwhile.
  void Start(const std::function<void(boost::asio::awaitable<void>)>& spawn);
  void Stop();
  /// Tells the writer that there may be changes.
  void Notify() { TakeChanges(); }
  /// Waits until all changes made before the call are stored, at most `timeout`. True when they are.
  boost::asio::awaitable<bool> WaitStored(std::chrono::milliseconds timeout);
  /// The same for the rows of one job.
  boost::asio::awaitable<bool> WaitJobStored(std::string job, std::chrono::milliseconds timeout);
  /// False while the store confirms writes in no partition.
  bool is_storing() const;
  /// Adds the row of a forgotten job to the next transaction.
  void Remove(const std::string& job) { WriterOf(job).Remove(job); }

 private:
  void TakeChanges();
  partition_writer& WriterOf(const std::string& job);

  state::pool::pool_state& state_;
  // By position in kJobPartitions.
  std::vector<std::unique_ptr<partition_writer>> writers_;
};

}  // namespace hickorystall::coordination::pool
