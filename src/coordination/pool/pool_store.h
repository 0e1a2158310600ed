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
  /// Version that the row took with its last change; 0 when there is no such row.
  std::int64_t version = 0;
  /// True in a change feed when the row was removed.
  bool removed = false;
  /// Partition of the table; each takes its transactions one after another.
  std::string partition = {};
};

/// A version that a row must have for a transaction to apply.
struct row_condition {
  std::string table;
  std::string key;
  std::int64_t version = 0;
  std::string partition = {};
};

/// A row to write, or to remove when it has no value.
struct row_change {
  std::string table;
  std::string key;
  std::optional<std::string> value;
  std::string partition = {};
};

/// Changes that are applied all or not at all. One that covers several partitions takes longer.
struct store_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_change> changes;
};

/// What became of a transaction.
enum class transaction_outcome {
  /// Applied.
  kDone,
  /// A condition did not hold; nothing was applied.
  kConflict,
  /// The store has not applied it and will not.
  kNotDone,
  /// No answer: it may have been applied, or may be applied seconds later if its conditions still hold.
  kUnknown,
};

struct transaction_result {
  transaction_outcome outcome = transaction_outcome::kUnknown;
  /// Version that the written rows took.
  std::int64_t version = 0;
  /// After a conflict: the rows of the conditions as they are.
  std::vector<stored_row> current;
};

struct rows_result {
  /// OutOfRange when the history that a feed was asked for is gone.
  absl::Status status;
  std::vector<stored_row> rows;
  /// Version of the store that the rows belong to; a feed goes on from it.
  std::int64_t version = 0;
};

/// The platform's transactional table, where everything lies that must last.
class pool_store {
 public:
  virtual ~pool_store() = default;
  /// Applies `transaction`.
  virtual boost::asio::awaitable<transaction_result> Apply(store_transaction transaction,
                                                           std::chrono::milliseconds timeout) = 0;
  /// Reads the rows of one partition of `table` with keys from `from` up to, but not including, `to`; empty
  /// for no bound.
  virtual boost::asio::awaitable<rows_result> ReadRange(std::string table, std::string partition,
                                                        std::string from, std::string to,
                                                        std::chrono::milliseconds timeout) = 0;
  /// Returns the rows of all partitions of `table` that changed after `version`, as soon as there is one, at
  /// the latest after `wait`. `timeout` counts from the end of the wait.
  virtual boost::asio::awaitable<rows_result> Follow(std::string table, std::int64_t version,
                                                     std::chrono::milliseconds wait,
                                                     std::chrono::milliseconds timeout) = 0;
};

}  // namespace hickorystall::coordination::pool
