#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Table that a table_feed follows.
struct feed_source {
  std::string table;
  /// Partitions that are read when the change feed cannot be continued.
  std::vector<std::string> partitions;
};

/// What one call of `table_feed::Next` returned.
struct feed_update {
  /// False when nothing was learned; a pause has passed then.
  bool ok = false;
  /// True when `rows` are all rows of the table instead of the changed ones. Rows that are missing have been
  /// removed.
  bool is_snapshot = false;
  std::vector<stored_row> rows;
};

/// Follows the changes of one table and tracks how old the knowledge of it is. A reader that does not know
/// the age of its picture acts on removed workers and cancelled jobs as if they were current.
class table_feed {
 public:
  /// `store` and `log` must outlive the feed.
  table_feed(pool_store& store, event_log& log, feed_source source);

  /// Continues after `version`, up to which the caller has read the table with a call sent at `read_at`.
  void Begin(std::int64_t version, state::pool::boot_time read_at);
  /// Waits for changes. Reads the whole table when the history that the feed needs is gone.
  boost::asio::awaitable<feed_update> Next();
  /// Latest time at which the rows returned so far are known to have been complete.
  state::pool::boot_time fresh_at() const { return fresh_at_; }

 private:
  boost::asio::awaitable<feed_update> Follow();
  boost::asio::awaitable<feed_update> ReadAll();
  void LogOutcome(const absl::Status& status);

  pool_store& store_;
  event_log& log_;
  const feed_source source_;
  // Position in the change feed; empty when the table must be read again.
  std::optional<std::int64_t> position_;
  // Newest version of which rows were returned. An older snapshot is not used.
  std::int64_t newest_version_ = 0;
  state::pool::boot_time fresh_at_{};
  // When the first of the consecutive failures occurred.
  std::optional<state::pool::boot_time> failing_since_;
};

}  // namespace hickorystall::coordination::pool
