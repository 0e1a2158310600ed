#pragma once

#include <chrono>
#include <optional>
#include <random>
#include <string>

#include "coordination/pool/memory_store.h"

namespace hickorystall::tests {

/// The view that one VM has of a shared store: it may be disconnected or slow, lose replies, apply writes
/// late and refuse the writes of one partition or table.
class faulty_store : public coordination::pool::pool_store {
 public:
  /// The arguments must outlive the object.
  faulty_store(memory_store& store, std::mt19937_64& random) : store_(store), random_(random) {}

  boost::asio::awaitable<coordination::pool::transaction_result> Apply(
      coordination::pool::store_transaction transaction, std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::rows_result> ReadRange(
      std::string table, std::string partition, std::string from, std::string to,
      std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::rows_result> Follow(std::string table, std::int64_t version,
                                                                 std::chrono::milliseconds wait,
                                                                 std::chrono::milliseconds timeout) override;

  /// True while this VM cannot reach the store.
  bool is_disconnected = false;
  /// Share of writes whose reply is lost, and of writes that are applied up to two seconds late.
  double lost_share = 0;
  double late_share = 0;
  /// Delay of each call; 0 for none.
  std::chrono::milliseconds delay{0};
  /// Partition and table whose writes are refused. The empty partition is that of all rows but those of jobs.
  std::optional<std::string> refused_partition;
  std::optional<std::string> refused_table;

 private:
  bool IsRefused(const coordination::pool::store_transaction& transaction) const;
  boost::asio::awaitable<void> ApplyLate(coordination::pool::store_transaction transaction,
                                         std::chrono::milliseconds delay);

  memory_store& store_;
  std::mt19937_64& random_;
};

}  // namespace hickorystall::tests
