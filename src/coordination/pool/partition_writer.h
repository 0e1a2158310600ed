#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <set>
#include <string>

#include "coordination/pool/event_log.h"
#include "coordination/pool/ownership.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_state.h"
#include "transport/wake_signal.h"

namespace hickorystall::coordination::pool {

/// Stores the progress of the changed jobs of one partition, batched into transactions. Each write is
/// conditional on the owner's epoch and on the version of each row, so that a write that is applied seconds
/// late can overwrite neither a newer write nor one of a later owner.
class partition_writer {
 public:
  /// The arguments must outlive the writer.
  partition_writer(std::string partition, pool_store& store, event_log& log, ownership& owner,
                   state::pool::pool_state& state, const boost::asio::any_io_executor& executor);

  /// Stores changes until Stop.
  boost::asio::awaitable<void> Run();
  void Stop();
  /// Marks the stored progress of `job` as outdated. An urgent change is written without waiting for a batch.
  void Add(const std::string& job, bool urgent);
  /// Waits until all changes added before the call are stored, or until `limit`. Returns true when they are
  /// stored.
  boost::asio::awaitable<bool> WaitStored(state::pool::boot_time limit);
  /// False while the store does not confirm writes.
  bool is_storing() const { return failures_ == 0; }
  /// Removes the rows of a forgotten job with the next transaction.
  void Remove(const std::string& job) { removals_.insert(job); }

 private:
  boost::asio::awaitable<void> WriteOnce();
  store_transaction MakeTransaction(const std::set<std::string>& jobs, const std::set<std::string>& removals);
  void HandleConflict(const transaction_result& result);

  const std::string partition_;
  pool_store& store_;
  event_log& log_;
  ownership& owner_;
  state::pool::pool_state& state_;
  transport::wake_signal wake_;
  transport::wake_signal stored_;
  // Jobs whose stored row is outdated.
  std::set<std::string> changed_;
  std::set<std::string> removals_;
  bool urgent_ = false;
  // Number of consecutive writes that were not confirmed.
  int failures_ = 0;
  // Number of the transaction that will hold the changes made now, and of the newest one that was applied.
  std::int64_t next_write_ = 1;
  std::int64_t stored_write_ = 0;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
