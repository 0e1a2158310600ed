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
  /// Name of this VM.
  std::string instance;
  /// Distinguishes this life of the process from earlier ones on the same VM.
  std::string life;
  /// Time without a renewal after which another VM may take over.
  std::chrono::milliseconds term{2500};
  /// Taken off the term for the owner itself: it falls silent before another may begin. Covers the difference
  /// of two steady clocks over one term and the time between a check of the authority and the order.
  std::chrono::milliseconds margin{300};
  /// Time between two renewals; three fit into the term.
  std::chrono::milliseconds renewal{700};
  /// Delay before this VM tries to take over, so that stronger VMs go first.
  std::chrono::milliseconds takeover_delay{0};
};

/// The right of one VM at a time to decide for the pool, kept in the store. Every owner has a higher epoch
/// than the one before. The epoch is the fencing token of its orders, and its writes depend on the epoch's
/// row.
///
/// An owner has authority until `term` less `margin` after it sent its last renewal that was applied. Another
/// VM takes over only after it has seen the lease row unchanged for `term`, reaching the store all the while,
/// and it cannot have seen the row before the renewal was sent. So two VMs never have authority at once.
/// Times are read from the clock that counts suspended time.
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
  /// True when an earlier owner may have left runs on workers.
  bool had_predecessor() const { return epoch_ > 1; }
  /// Takes in that another VM has a higher epoch.
  void Lose(const std::string& reason);
  /// Called with true after this VM has become the owner and with false when it no longer is.
  void SetListener(std::function<void(bool)> listener) { listener_ = std::move(listener); }

 private:
  struct seen_rows {
    std::int64_t epoch = 0;
    std::int64_t epoch_version = 0;
    std::int64_t lease_version = 0;
    // Life of the process that holds the lease; empty when it was released.
    std::string holder;
  };
  boost::asio::awaitable<void> FollowOnce();
  boost::asio::awaitable<void> TryTakeover();
  boost::asio::awaitable<void> RenewOnce();
  boost::asio::awaitable<void> Release();
  void TakeRow(const stored_row& row);
  bool MayTakeOver() const;
  std::string LeaseValue() const;

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
  state::pool::boot_time authority_until_{};
  bool stopping_ = false;
  bool ended_ = false;
};

}  // namespace hickorystall::coordination::pool
