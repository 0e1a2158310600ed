#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/table_client.h"

namespace hickorystall::coordination {

/// Settings of the pool lease (docs/design.md, section 5.1).
struct pool_lease_settings {
  /// Pool to own, named after a region.
  std::string pool;
  /// Name of this instance.
  std::string instance;
  /// Time for which an acquisition or renewal is valid, measured from before it was sent. Must be the same in
  /// all instances.
  std::chrono::milliseconds term{2000};
  /// Interval between renewals.
  std::chrono::milliseconds renew_interval{500};
  /// Time before the end of the term from which the owner makes no more decisions.
  std::chrono::milliseconds margin{500};
  /// Interval at which a challenger reads the owner's rows.
  std::chrono::milliseconds challenge_interval{250};
};

/// Competes for the ownership of a pool, and renews it. The epoch row changes only with the owner, so a write
/// that depends on `condition` fails once another instance has taken over. Not thread-safe: use it on one
/// loop.
class pool_lease {
 public:
  using clock = std::chrono::steady_clock;

  /// `table` must outlive the lease.
  pool_lease(protocol::table_client& table, pool_lease_settings settings);

  /// Acquires and renews until `stop` returns true.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);
  /// Performs one step: renews as the owner, or else reads the owner's rows and takes over if its term has
  /// expired.
  boost::asio::awaitable<void> Step();
  /// Releases the pool, so that the next owner need not wait for the end of the term.
  boost::asio::awaitable<void> Release();
  /// Marks the ownership as lost after a write found another epoch.
  void MarkLost();

  /// True while this instance may decide and send commands.
  bool owns(clock::time_point now) const {
    return epoch_version_ != 0 && now + settings_.margin < valid_until_;
  }
  /// True while this instance is the last known owner, even if its term has expired during a store outage.
  bool holds_epoch() const { return epoch_version_ != 0; }
  /// Condition that every write of the owner must include. Call it only while holds_epoch() is true.
  protocol::table_condition condition() const;
  /// Number of acquisitions. When it changes, users must load the state again.
  std::int64_t acquisitions() const { return acquisitions_; }
  /// State for the dump.
  nlohmann::json Dump(clock::time_point now) const;

 private:
  boost::asio::awaitable<void> Renew();
  boost::asio::awaitable<void> Challenge();
  boost::asio::awaitable<void> Acquire(const protocol::table_row& epoch, const protocol::table_row& renewal);

  protocol::table_client& table_;
  const pool_lease_settings settings_;
  // Version of the epoch row written by this instance; 0 when it is not the owner.
  std::int64_t epoch_version_ = 0;
  clock::time_point valid_until_;
  std::int64_t acquisitions_ = 0;
  std::int64_t renewals_ = 0;
  bool releasing_ = false;
  // Row versions and owner that the challenger read last, and since when the versions have not changed.
  std::int64_t seen_epoch_ = -1;
  std::int64_t seen_renewal_ = -1;
  clock::time_point unchanged_since_;
  std::string seen_owner_;
};

}  // namespace hickorystall::coordination
