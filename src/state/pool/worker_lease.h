#pragma once

#include <chrono>

#include "state/pool/pool_settings.h"
#include "state/pool/pool_time.h"

namespace hickorystall::state::pool {

/// Upper bound of the lease of one worker, from the orders sent to it and the replies to them.
///
/// An order that an incarnation of the worker executes extends its lease to the deadline of the order on its
/// own clock, or to `max_worker_lease` from then, whichever is earlier. Each order ends the lease at one of
/// these times at the latest:
/// - Executed by the incarnation whose clock was read: `worker_lease` after the grant, however late it is
///   executed, since the clock has advanced by then.
/// - Executed by a later incarnation, with a reply: the time between the clock in the reply and the deadline,
///   counted from the reply. The clock of that incarnation started anew, so this may be `max_worker_lease`.
/// - Executed by a later incarnation, without a reply: `max_worker_lease` after the last time at which it may
///   be executed, `max_order_delay` after it was sent.
///
/// The last case is counted only once the restart is known. Until then it is ruled out by the sender, which
/// grants a lease only to a worker that has just replied.
class worker_lease {
 public:
  /// Grants a lease at `now` and returns its deadline. The clock must have been read.
  worker_time Grant(const pool_settings& settings, boot_time now);
  /// Handles a reply at `now` to an order with `deadline`; the clock of the worker was `clock` before.
  void HandleReply(const pool_settings& settings, worker_time deadline, worker_time clock, boot_time now);
  /// Handles that an order that was sent at `sent_at` has no reply. `has_restarted` tells that the worker has
  /// restarted since the grant.
  void HandleNoReply(const pool_settings& settings, boot_time sent_at, bool has_restarted);
  /// Handles that the worker has restarted. Its clock must be read again.
  void HandleRestart(const pool_settings& settings);
  /// Handles that the worker has ended, with all its runs.
  void HandleEnd();
  /// Stores a reading of the clock that was taken at `now` or before.
  void ReadClock(worker_time clock, boot_time now);
  /// Includes leases of earlier owners, which end by `bound`.
  void ExtendTo(boot_time bound);

  /// Time after which no run on the worker continues unless its lease is renewed.
  boot_time bound() const { return bound_; }
  /// Time of the latest grant; zero if this owner has granted none.
  boot_time granted_at() const { return granted_at_; }
  /// Time of the latest reading of the clock; zero if the clock of this incarnation was not read.
  boot_time clock_read_at() const { return clock_read_at_; }

 private:
  void ExtendForLateExecution(const pool_settings& settings);

  boot_time bound_{};
  boot_time granted_at_{};
  // Lower bound of the clock at `clock_read_at_`.
  worker_time clock_{};
  boot_time clock_read_at_{};
  // Latest time at which an order without a reply may be executed; zero for none.
  boot_time late_execution_end_{};
};

/// Returns the maximum time that passes while the clock of a worker advances by `time`, with the margin for
/// the delays of reading it.
std::chrono::milliseconds MaxElapsedTime(const pool_settings& settings, std::chrono::milliseconds time);

}  // namespace hickorystall::state::pool
