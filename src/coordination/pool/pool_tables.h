#pragma once

#include <array>
#include <string>
#include <string_view>

namespace hickorystall::coordination::pool {

/// Tables and keys of the pool in the store. The rows of a job lie in one of kJobPartitions, so that jobs are
/// taken in parallel where the store is slow; all others lie in kPoolPartition. Each has the epoch's row, so
/// that one transaction can depend on it.

/// Partition of all rows that belong to no job.
inline constexpr char kPoolPartition[] = "";
/// Partitions of the jobs' rows. A store whose answers take 240 ms takes 4 transactions a second in each; the
/// sites hand in up to 11 jobs a second at such times.
inline constexpr std::array<std::string_view, 4> kJobPartitions{"jobs-0", "jobs-1", "jobs-2", "jobs-3"};
/// Partition of the rows of the job `id`. Ids end in a random hexadecimal digit.
inline std::string JobPartition(std::string_view id) {
  const unsigned char last = id.empty() ? 0 : static_cast<unsigned char>(id.back());
  return std::string(kJobPartitions[last % kJobPartitions.size()]);
}

/// Submissions by job id, and one row with kCancelSuffix for each cancelled job. Clients' VMs write, the
/// owner follows it and removes.
inline constexpr char kJobsTable[] = "jobs";
/// Progress by job id, and a copy of each cancellation, so that one read of this small table tells a job's
/// state. Written with the submission, then by the owner only.
inline constexpr char kProgressTable[] = "progress";
/// Ownership of the pool.
inline constexpr char kOwnershipTable[] = "ownership";
/// Row that changes with each new owner. Every write of an owner depends on it.
inline constexpr char kEpochKey[] = "epoch";
/// Row that the owner renews.
inline constexpr char kLeaseKey[] = "lease";
/// Table of the row that lists the workers that may have got orders. The row is long and all VMs follow the
/// ownership, so it lies apart.
inline constexpr char kWorkersTable[] = "workers";
inline constexpr char kWorkersKey[] = "all";
/// Addresses of the system's VMs by name.
inline constexpr char kVmsTable[] = "vms";
/// Ends the key of a cancellation. Job ids have no dot.
inline constexpr char kCancelSuffix[] = ".cancel";
/// Comes after all keys that begin with a job's id and a dot.
inline constexpr char kAfterJobSuffix[] = "/";

}  // namespace hickorystall::coordination::pool
