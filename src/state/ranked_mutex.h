#pragma once

#include <mutex>

namespace hickorystall::state {

/// Position of a mutex in the lock order. A thread may only lock a mutex whose rank is higher than the ranks
/// of all mutexes that it holds.
enum class lock_rank : int {
  kConfig = 10,
  kMembership = 20,
  kOwnership = 30,
  kJobTable = 40,
  kWorkerTable = 50,
  kTargetTable = 60,
  kClaimTable = 70,
  kConnectionPool = 80,
  kMetrics = 90,
};

/// A mutex that aborts the process in debug builds when it is locked against the lock order.
class ranked_mutex {
 public:
  explicit ranked_mutex(lock_rank rank) : rank_(rank) {}
  ranked_mutex(const ranked_mutex&) = delete;
  ranked_mutex& operator=(const ranked_mutex&) = delete;

  /// Blocks until the mutex is free. Lower-case name, as std::lock_guard requires.
  void lock();
  /// Must be called by the thread that holds the mutex, which unlocks its mutexes in reverse order of
  /// locking.
  void unlock();

 private:
  const lock_rank rank_;
  std::mutex mutex_;
};

}  // namespace hickorystall::state
