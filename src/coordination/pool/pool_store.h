#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickorystall::coordination::pool {

/// A row of the transactional table.
struct stored_row {
  std::string table;
  std::string key;
  std::string value;
  /// Version of the row's last change; 0 when the row does not exist.
  std::int64_t version = 0;
  /// True in a change feed when the row was removed.
  bool removed = false;
  /// Partition of the table. Each partition applies its transactions one after another.
  std::string partition = {};
};

/// Version that a row must have for a transaction to be applied.
struct row_condition {
  std::string table;
  std::string key;
  std::int64_t version = 0;
  std::string partition = {};
};

/// A row to write, or to remove when `value` is empty.
struct row_change {
  std::string table;
  std::string key;
  std::optional<std::string> value;
  std::string partition = {};
};

/// Changes that are applied all or not at all. A transaction that covers several partitions takes longer.
struct store_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_change> changes;
};

/// Result of a transaction.
enum class transaction_outcome {
  /// Applied.
  kDone,
  /// A condition did not hold; nothing was applied.
  kConflict,
  /// The store has not applied it and will not.
  kNotDone,
  /// No reply: it may have been applied, or may be applied seconds later if its conditions still hold.
  kUnknown,
};

struct transaction_result {
  transaction_outcome outcome = transaction_outcome::kUnknown;
  /// With kNotDone: true if the store would refuse the same transaction again, for example because a row is
  /// too large.
  bool is_permanent = false;
  /// Version of the written rows; set with kDone.
  std::int64_t version = 0;
  /// After a conflict: the current rows that the conditions name.
  std::vector<stored_row> current;
  /// Steady clock of the store when it applied the transaction; empty if the reply does not contain it.
  std::optional<std::chrono::milliseconds> store_time;
};

struct rows_result {
  /// OutOfRange when the requested history of a feed is no longer available.
  absl::Status status;
  std::vector<stored_row> rows;
  /// Version of the store to which the rows belong; a feed continues from it.
  std::int64_t version = 0;
};

/// The platform's transactional table, which holds all durable state.
class pool_store {
 public:
  virtual ~pool_store() = default;
  /// Applies `transaction` if all its conditions hold.
  virtual boost::asio::awaitable<transaction_result> Apply(store_transaction transaction,
                                                           std::chrono::milliseconds timeout) = 0;
  /// Reads the rows of one partition of `table` with keys from `from` up to, but not including, `to`. An
  /// empty string means no bound.
  virtual boost::asio::awaitable<rows_result> ReadRange(std::string table, std::string partition,
                                                        std::string from, std::string to,
                                                        std::chrono::milliseconds timeout) = 0;
  /// Returns the rows of all partitions of `table` that changed after `version`, as soon as there is one, or
  /// an empty list after `wait`. `timeout` counts from the end of the wait.
  virtual boost::asio::awaitable<rows_result> Follow(std::string table, std::int64_t version,
                                                     std::chrono::milliseconds wait,
                                                     std::chrono::milliseconds timeout) = 0;
};

}  // namespace hickorystall::coordination::pool
