#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Settings of the ownership of a pool.
struct ownership_settings {
  /// Name of this VM, and an address of it: a VM that replaces another may have its name, but not its
  /// address.
  std::string instance;
  std::string address;
  /// Distinguishes this life of the process from earlier ones on the same VM.
  std::string incarnation;
  /// Time between two renewals.
  std::chrono::milliseconds renewal{500};
  /// Time without a renewal after which another VM takes over. Three renewals; more than a slow store delays
  /// one.
  std::chrono::milliseconds suspicion{1500};
  /// Time after its last applied renewal in which an owner goes on giving orders. Longer than the suspicion,
  /// so that tasks go on while nobody reaches the store.
  std::chrono::milliseconds authority{3500};
  /// Added by a new owner to the authority of the former: the difference of two clocks over that time.
  std::chrono::milliseconds margin{200};
  /// Delay before this VM tries to take over, so that stronger VMs go first.
  std::chrono::milliseconds takeover_delay{0};
};

/// The right of one VM at a time to decide for the pool, kept in the store. Every owner has a higher epoch
/// than the one before. The epoch is the fencing token of its orders, and its writes depend on the epoch's
/// row.
///
/// A former owner that is cut off from the store may go on giving orders for a while beside a new one, until
/// `predecessor_authority_end`. That is safe since a new owner first raises the fencing token on every worker
/// that may have got orders, and reads what runs there. While it does not reach one of them, it starts
/// nothing that an earlier owner may have started, until the earlier owner's authority and the leases that it
/// may still have given are over. And an owner gives up the runs of a silent worker only when its ownership
/// was confirmed after their lease, so that no other owner can have renewed them. Times are read from the
/// clock that counts suspended time.
class ownership {
 public:
  /// `store` and `log` must outlive the object.
  ownership(pool_store& store, event_log& log, ownership_settings settings);

  /// Follows, takes and renews the ownership until Stop.
  boost::asio::awaitable<void> Run();
  /// Ends Run. An owner releases the lease first, so that another VM takes over at once.
  void Stop() { stopping_ = true; }
  /// True once Run has ended.
  bool has_ended() const { return ended_; }

  /// True while this VM may give orders.
  bool HasAuthority() const;
  /// True while this VM is the owner as far as it knows, with or without authority.
  bool is_owner() const { return epoch_ > 0; }
  /// Epoch of this VM's ownership.
  std::int64_t epoch() const { return epoch_; }
  /// Version of the epoch's row, on which the owner's writes depend.
  std::int64_t epoch_version() const { return epoch_version_; }
  /// Until when the former owner may give orders; the time of the takeover when it is known to have ended.
  state::pool::boot_time predecessor_authority_end() const { return predecessor_authority_end_; }
  /// When the last renewal that was applied was sent. No other VM was the owner then.
  state::pool::boot_time confirmed_at() const { return confirmed_at_; }
  /// Takes in that another VM has a higher epoch.
  void Lose(const std::string& reason);
  /// Called with true after this VM has become the owner and with false when it no longer is.
  void SetListener(std::function<void(bool)> listener) { listener_ = std::move(listener); }

 private:
  struct seen_rows {
    std::int64_t epoch = 0;
    std::int64_t epoch_version = 0;
    std::int64_t lease_version = 0;
    // Life, VM and address of the process that holds the lease; empty when it was released.
    std::string holder;
    std::string vm;
    std::string address;
  };
  boost::asio::awaitable<void> FollowOnce();
  boost::asio::awaitable<void> TryTakeover();
  boost::asio::awaitable<void> RenewOnce();
  boost::asio::awaitable<void> Release();
  void TakeRow(const stored_row& row);
  bool MayTakeOver() const;
  // True when the lease was released, or held by a process that this one has replaced.
  bool HasHolderEnded() const;
  std::string LeaseValue(std::int64_t epoch) const;
  boost::asio::awaitable<bool> WaitForStrongerVms();

  pool_store& store_;
  event_log& log_;
  const ownership_settings settings_;
  std::function<void(bool)> listener_;
  seen_rows seen_;
  // Position of the change feed; unset when the rows must be read whole.
  std::optional<std::int64_t> position_;
  // Since when the lease row has not changed while the store was in reach.
  state::pool::boot_time unchanged_since_{};
  std::int64_t epoch_ = 0;
  std::int64_t epoch_version_ = 0;
  std::int64_t lease_version_ = 0;
  state::pool::boot_time confirmed_at_{};
  state::pool::boot_time predecessor_authority_end_{};
  bool stopping_ = false;
  bool ended_ = false;
};

}  // namespace hickorystall::coordination::pool
