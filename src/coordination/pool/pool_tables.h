#pragma once

namespace hickorystall::coordination::pool {

/// Tables and keys of the pool in the store. All rows of the pool lie in one part, so that one transaction
/// may cover them.

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
/// Row that lists the workers that may have got orders.
inline constexpr char kWorkersKey[] = "workers";
/// Addresses of the system's VMs by name.
inline constexpr char kVmsTable[] = "vms";
/// Ends the key of a cancellation. Job ids have no dot.
inline constexpr char kCancelSuffix[] = ".cancel";
/// Comes after all keys that begin with a job's id and a dot.
inline constexpr char kAfterJobSuffix[] = "/";

}  // namespace hickorystall::coordination::pool
