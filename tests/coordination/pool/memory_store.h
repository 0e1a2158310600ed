#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "coordination/pool/pool_store.h"

namespace hickorystall::tests {

/// A store in memory for one loop. It can lose answers, apply writes late and refuse.
class memory_store : public coordination::pool::pool_store {
 public:
  boost::asio::awaitable<coordination::pool::transaction_result> Apply(
      coordination::pool::store_transaction transaction, std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::rows_result> ReadRange(
      std::string table, std::string partition, std::string from, std::string to,
      std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::rows_result> Follow(std::string table, std::int64_t version,
                                                                 std::chrono::milliseconds wait,
                                                                 std::chrono::milliseconds timeout) override;

  /// Applies `transaction` now, as an answer that comes late would.
  coordination::pool::transaction_result ApplyNow(const coordination::pool::store_transaction& transaction);
  /// Value of a row in any partition, or an empty string.
  std::string Value(const std::string& table, const std::string& key) const;

  /// True when the store answers nothing; calls then end without effect.
  bool is_down = false;
  /// Table whose changes are refused; empty for none.
  std::string refused_table;
  /// Partition whose changes are refused; empty for none.
  std::string refused_partition;
  /// Number of next transactions that are applied without an answer.
  int lost_answers = 0;
  /// Number of next transactions that are kept for ApplyLate without an answer.
  int late_writes = 0;
  /// Table whose transactions alone count as late; empty for all.
  std::string late_table;
  /// Transactions that were kept.
  std::vector<coordination::pool::store_transaction> kept;
  /// Calls of Apply.
  int writes = 0;

 private:
  // Rows by table, partition and key.
  std::map<std::tuple<std::string, std::string, std::string>, coordination::pool::stored_row> rows_;
  std::vector<coordination::pool::stored_row> history_;
  std::int64_t version_ = 0;
};

}  // namespace hickorystall::tests
