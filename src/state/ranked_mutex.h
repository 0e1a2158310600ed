#pragma once

#include <mutex>

namespace hickorystall::state {

/// Place of a mutex in the lock order. A thread may only take a mutex of a higher rank than those it holds.
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

/// A mutex that aborts the process in debug builds when it is taken against the lock order.
class ranked_mutex {
 public:
  explicit ranked_mutex(lock_rank rank) : rank_(rank) {}
  ranked_mutex(const ranked_mutex&) = delete;
  ranked_mutex& operator=(const ranked_mutex&) = delete;

  /// Blocks until the mutex is free. Named in lower case for std::lock_guard.
  void lock();
  /// Releases the mutex.
  void unlock();

 private:
  const lock_rank rank_;
  std::mutex mutex_;
};

}  // namespace hickorystall::state
