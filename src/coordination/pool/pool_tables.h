#pragma once

#include <array>
#include <string>
#include <string_view>

namespace hickorystall::coordination::pool {

/// Tables and keys of the pool in the store. The rows of a job are in one of kJobPartitions, so that jobs are
/// accepted in parallel when the store is slow; all others are in kPoolPartition. Each partition has a copy
/// of the epoch's row, so that one transaction can depend on it.

/// Partition of all rows that belong to no job.
inline constexpr char kPoolPartition[] = "";
/// Partitions of the jobs' rows. A store whose replies take 240 ms applies 4 transactions a second in each;
/// at most 11 jobs a second are submitted then.
inline constexpr std::array<std::string_view, 4> kJobPartitions{"jobs-0", "jobs-1", "jobs-2", "jobs-3"};
/// Returns the partition of the rows of job `id`. Ids end in a random hexadecimal digit.
inline std::string JobPartition(std::string_view id) {
  const unsigned char last = id.empty() ? 0 : static_cast<unsigned char>(id.back());
  return std::string(kJobPartitions[last % kJobPartitions.size()]);
}

/// Submissions by job id, and one row with kCancelSuffix for each cancelled job. Written by the VMs that
/// serve clients; followed and removed by the owner.
inline constexpr char kJobsTable[] = "jobs";
/// Progress by job id, and a copy of each cancellation, so that a single read of this small table is enough
/// to determine a job's state. A job's progress is written with the submission, afterwards by the owner only.
inline constexpr char kProgressTable[] = "progress";
/// Continuations of rows of the progress table that would exceed the size limit of a row, by
/// `ProgressRowKey`. A table of their own keeps them out of the reads that serve clients.
inline constexpr char kProgressRowsTable[] = "progress_rows";
/// Key of continuation `number`, from 0, of the progress of job `id`.
inline std::string ProgressRowKey(std::string_view id, std::size_t number) {
  return std::string(id) + "." + std::to_string(number);
}
/// Tombstones of ids that were cancelled without being known, by `TombstoneKey`. Written by the VMs that
/// serve clients; removed by the owner.
inline constexpr char kTombstonesTable[] = "tombstones";
/// Epoch and lease of the pool's owner.
inline constexpr char kOwnershipTable[] = "ownership";
/// Row that changes with each new owner. Every write of an owner is conditional on it.
inline constexpr char kEpochKey[] = "epoch";
/// Row that the owner renews periodically.
inline constexpr char kLeaseKey[] = "lease";
/// Table of the row that lists the workers that may have received orders. The row is long and all VMs follow
/// the ownership table, so it has its own table.
inline constexpr char kWorkersTable[] = "workers";
inline constexpr char kWorkersKey[] = "all";
/// Row of the same table that names the workers that do not reply, with the end of their leases.
inline constexpr char kSilentWorkersKey[] = "silent";
/// Table of the row that holds what the owner has learned of run times and of the speeds of workers.
inline constexpr char kLearnedTable[] = "learned";
inline constexpr char kLearnedTimesKey[] = "times";
/// Addresses of the system's VMs by name.
inline constexpr char kVmsTable[] = "vms";
/// Suffix of the key of a cancellation. Job ids contain no dot.
inline constexpr char kCancelSuffix[] = ".cancel";
/// Appended to a job's id, it sorts after all keys that begin with the id and a dot.
inline constexpr char kAfterJobSuffix[] = "/";

}  // namespace hickorystall::coordination::pool
