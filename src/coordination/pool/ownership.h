#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "coordination/pool/admission_codec.h"
#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Settings of the ownership of a pool.
struct ownership_settings {
  /// Name and address of this VM. A VM that replaces another may have its name, but not its address.
  std::string instance;
  std::string address;
  /// Distinguishes this start of the process from earlier ones on the same VM.
  std::string incarnation;
  /// Interval between two renewals of the lease.
  std::chrono::milliseconds renewal{300};
  /// Time without a renewal after which another VM takes over: a renewal interval and the timeout of one
  /// call, so that a slow store does not change the owner.
  std::chrono::milliseconds takeover_timeout{1100};
  /// Time after the last applied renewal during which an owner continues to send orders. Longer than
  /// `takeover_timeout`, so that tasks continue while no VM can reach the store.
  std::chrono::milliseconds authority{3500};
  /// Added by a new owner to the authority of its predecessor: the maximum difference between two clocks over
  /// that time.
  std::chrono::milliseconds margin{200};
  /// Delay before this VM tries to take over. VMs with more CPU have shorter delays, so that they go first.
  std::chrono::milliseconds takeover_delay{0};
  /// Additional delay of a standby VM, and interval at which it reads the lease instead of following it. The
  /// delay gives the stronger VMs time for two attempts.
  std::chrono::milliseconds standby_delay{700};
};

/// A reading of the store's clock. It was taken between `sent_at` and `received_at` on this VM's clock.
struct store_clock_reading {
  state::pool::boot_time sent_at{};
  state::pool::boot_time received_at{};
  std::chrono::milliseconds store_time{0};
};

/// The right of one VM at a time to make decisions for the pool, kept as a lease in the store. Every owner
/// has a higher epoch than its predecessor. The epoch is the fencing token of its orders, and its writes are
/// conditional on the epoch's row.
///
/// A former owner that is cut off from the store may continue to send orders alongside a new one, until
/// `predecessor_authority_end`. This is safe because a new owner first raises the fencing token on every
/// worker that may have received orders, and reads what runs there. While one of these workers is
/// unreachable, the new owner starts nothing that an earlier owner may have started, until the earlier
/// owner's authority and the leases that it may have granted have expired. An owner marks the runs of an
/// unreachable worker as lost only when its ownership was confirmed after their lease had expired, so that no
/// other owner can have renewed the lease. Times are read from the clock that includes suspended time.
class ownership {
 public:
  /// `store` and `log` must outlive the object.
  ownership(pool_store& store, event_log& log, ownership_settings settings);

  /// Follows, acquires and renews the lease until Stop.
  boost::asio::awaitable<void> Run();
  /// Ends Run. An owner releases the lease first, so that another VM can take over at once.
  void Stop() { stopping_ = true; }
  /// True once Run has ended.
  bool has_ended() const { return ended_; }

  /// True while this VM may send orders.
  bool HasAuthority() const;
  /// True from a takeover until the ownership is lost or released, with or without authority.
  bool is_owner() const { return epoch_ > 0; }
  /// Epoch of this VM's ownership; 0 when it is not the owner.
  std::int64_t epoch() const { return epoch_; }
  /// Version of the epoch's row, on which the owner's writes are conditional.
  std::int64_t epoch_version() const { return epoch_version_; }
  /// Time until which any former owner may send orders; the time of the takeover when all are known to have
  /// ended. Counted from the time at which this VM first saw the former owner's last renewal, which is not
  /// before that renewal was sent. Owners before that one are covered by what the renewal says about them.
  state::pool::boot_time predecessor_authority_end() const { return predecessor_authority_end_; }
  /// Time at which the last applied renewal was sent. No other VM was the owner then.
  state::pool::boot_time confirmed_at() const { return confirmed_at_; }
  /// Latest reading of the store's clock; empty if its replies do not contain it.
  const std::optional<store_clock_reading>& store_clock() const { return store_clock_; }
  /// Gives up the ownership without releasing the lease, for example because another VM has a higher epoch.
  /// `reason` is logged.
  void Lose(const std::string& reason);
  /// Releases the lease so that the VM with the name `successor` takes over at once. Without it the VM with
  /// the shortest delay does, which may be this one.
  void RequestHandover(std::string successor) { successor_ = std::move(successor); }
  /// Makes this VM a standby, or a regular candidate again: a standby takes over only if no other VM does.
  void SetStandby(bool is_standby) { is_standby_ = is_standby; }
  /// Latest time at which this VM read or wrote the ownership in the store.
  state::pool::boot_time last_contact() const { return last_contact_; }
  /// Sets the projection, made at `made_at`, that the lease carries while this VM is the owner.
  void SetProjection(state::pool::admission::admission_projection projection, state::pool::boot_time made_at);
  /// Returns the projection of the present owner. Empty if there is none, or after a change of owner.
  admission_view admission() const;
  /// Latest version of the store that this VM has seen. Rows with a version up to it were written before.
  std::int64_t store_version() const { return store_version_; }
  /// Sets the function that is called with true after this VM has become the owner, and with false when it no
  /// longer is.
  void SetListener(std::function<void(bool)> listener) { listener_ = std::move(listener); }

 private:
  struct seen_rows {
    std::int64_t epoch = 0;
    std::int64_t epoch_version = 0;
    std::int64_t lease_version = 0;
    // When this version of the lease row was first read. Reads that fail do not change it.
    state::pool::boot_time lease_seen_at{};
    // Time for which owners before the holder of the lease could still send orders when the row was written.
    std::chrono::milliseconds earlier_authority{0};
    // Incarnation, VM and address of the process that holds the lease; empty when it was released.
    std::string holder;
    std::string vm;
    std::string address;
    // VM that the former holder named when it released the lease; empty for none.
    std::string successor;
    // Projection in the lease row, made at this time or later.
    state::pool::admission::admission_projection projection;
    state::pool::boot_time projection_made_at{};
  };
  boost::asio::awaitable<void> FollowOnce();
  boost::asio::awaitable<void> TryTakeover();
  boost::asio::awaitable<void> RenewOnce();
  boost::asio::awaitable<void> Release(std::string successor);
  boost::asio::awaitable<void> HandOver();
  std::chrono::milliseconds TakeoverDelay() const;
  void ApplyRow(const stored_row& row);
  // Notes a read of the store, sent at `sent_at`, whose rows have been applied.
  void HandleRead(const rows_result& result, state::pool::boot_time sent_at);
  bool MayTakeOver() const;
  // True when nobody holds the lease, or its holder is an earlier incarnation on this VM.
  bool HasHolderEnded() const;
  void ReadStoreClock(const transaction_result& result, state::pool::boot_time sent_at);
  // Upper bound on this VM's clock for the end of a time that was `left` when the writer of the lease row
  // sent it.
  state::pool::boot_time LatestEnd(std::chrono::milliseconds left) const;
  // Time until which former owners may send orders if this VM takes over now.
  state::pool::boot_time FormerAuthorityEnd(state::pool::boot_time now) const;
  // Value of the lease row for this VM as the holder. `former_authority_end` as above.
  std::string LeaseValue(std::int64_t epoch, state::pool::boot_time former_authority_end) const;
  boost::asio::awaitable<bool> WaitForPreferredVms();

  pool_store& store_;
  event_log& log_;
  const ownership_settings settings_;
  std::function<void(bool)> listener_;
  seen_rows seen_;
  // Position in the change feed; empty when all rows must be read again.
  std::optional<std::int64_t> position_;
  // Time since which the lease row has not changed while the store was reachable.
  state::pool::boot_time unchanged_since_{};
  std::int64_t epoch_ = 0;
  std::int64_t epoch_version_ = 0;
  std::int64_t lease_version_ = 0;
  state::pool::boot_time confirmed_at_{};
  state::pool::boot_time predecessor_authority_end_{};
  state::pool::boot_time last_contact_{};
  // When the latest read with a reply was sent. A row that it did not return was written later.
  state::pool::boot_time last_read_sent_at_{};
  // Latest version of the store that a reply has shown.
  std::int64_t store_version_ = 0;
  admission_view own_projection_;
  std::optional<store_clock_reading> store_clock_;
  bool is_standby_ = false;
  // VM to which the ownership is to be handed over; empty for none.
  std::string successor_;
  // True from the beginning of a planned release.
  bool releasing_ = false;
  bool stopping_ = false;
  bool ended_ = false;
};

}  // namespace hickorystall::coordination::pool
