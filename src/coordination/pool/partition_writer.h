#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/pool/event_log.h"
#include "coordination/pool/ownership.h"
#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_state.h"
#include "transport/wake_signal.h"

namespace hickorystall::coordination::pool {

/// Stores the progress of the changed jobs of one partition, batched into transactions. Each write is
/// conditional on the owner's epoch and on the version of each row, so that a write that is applied seconds
/// late can overwrite neither a newer write nor one of a later owner.
///
/// The changes of a transaction that the store will never apply are written again in smaller transactions,
/// down to single jobs, so that one job whose progress cannot be stored does not hold up the others.
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
  /// Ends the batching if a change of `jobs` is not stored. Returns the number of the newest change, for
  /// WaitStored.
  std::int64_t Expedite(const std::set<std::string>& jobs);
  /// Waits until the changes of `jobs` up to the number `change` are stored, or until `limit`. Returns the
  /// jobs with changes that are not stored then.
  boost::asio::awaitable<std::set<std::string>> WaitStored(std::set<std::string> jobs, std::int64_t change,
                                                           state::pool::boot_time limit);
  /// Returns the jobs with changes that are not stored.
  std::set<std::string> UnstoredJobs() const;
  /// False while the store does not confirm writes.
  bool is_storing() const { return failures_ == 0; }
  /// Returns the number of jobs whose progress the store refuses for good.
  int CountRefusedJobs() const;
  /// Returns the number of checkpoints of open jobs that are left out of the stored progress.
  int CountDroppedCheckpoints() const;
  /// Removes the rows of a forgotten job with the next transaction.
  void Remove(const std::string& job);

 private:
  boost::asio::awaitable<void> WriteOnce();
  struct unstored_change {
    // Number of the oldest change that the stored row lacks.
    std::int64_t number = 0;
    // Maximum number of jobs in the transaction that writes the change.
    std::size_t max_jobs = 0;
    // Number of refusals of transactions that held only this job, and when it may be written again.
    int refusals = 0;
    state::pool::boot_time retry_at{};
    // Number of continuations in the transaction that writes the change.
    std::size_t extra_rows = 0;
  };
  using change_map = std::map<std::string, unstored_change>;

  bool HasDueWork(state::pool::boot_time now) const;
  // Returns the changes that may be written at `now`, the oldest first.
  std::vector<change_map::iterator> FindDueChanges(state::pool::boot_time now);
  // Moves the oldest changes from `changed_` to `in_progress_`, and returns the transaction that writes them.
  store_transaction BeginWrite();
  // Adds the rows of `job` to `transaction`, and notes in `change` what it writes.
  void AddProgress(state::pool::job_entry& job, encoded_progress progress, unstored_change& change,
                   store_transaction& transaction);
  void NoteDroppedCheckpoints(const std::string& job, int count);
  void AddRemovals(store_transaction& transaction);
  // Moves the changes and removals that were not stored back from `in_progress_`.
  void AbandonWrite();
  // Handles that the store refuses the present transaction for good.
  void HandleRefusal(const std::string& reason);
  bool IsStored(const std::string& job, std::int64_t change) const;
  // Takes over the versions of the rows after a conflict. Returns false if they do not explain it.
  bool HandleConflict(const transaction_result& result);
  // Sets the version of the stored row of job `id`. Returns whether it differs from the assumed one.
  bool CorrectVersion(const std::string& id, std::int64_t version);

  const std::string partition_;
  pool_store& store_;
  event_log& log_;
  ownership& owner_;
  state::pool::pool_state& state_;
  transport::wake_signal wake_;
  transport::wake_signal stored_;
  // Jobs whose stored row is outdated. A write holds all changes made before it begins. A job that changes
  // during its write is in both maps.
  change_map changed_;
  change_map in_progress_;
  std::int64_t last_change_ = 0;
  std::set<std::string> removals_;
  std::set<std::string> removals_in_progress_;
  // Number of consecutive refusals of transactions with removals, and when the removals may be written again.
  int removal_refusals_ = 0;
  state::pool::boot_time removals_retry_at_{};
  // Number of checkpoints that were left out of the latest encoding, by job. Jobs without any have no entry.
  std::map<std::string, int> dropped_checkpoints_;
  bool urgent_ = false;
  // Number of consecutive writes that were not confirmed.
  int failures_ = 0;
  // Number of consecutive conflicts.
  int conflicts_ = 0;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
