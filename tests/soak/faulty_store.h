#pragma once

#include <random>

#include "coordination/pool/memory_store.h"

namespace hickorystall::tests {

/// One VM's view of a store that others share: it may be cut off, lose answers and apply writes late.
class faulty_store : public coordination::pool::pool_store {
 public:
  /// Both must outlive the object.
  faulty_store(memory_store& store, std::mt19937_64& random) : store_(store), random_(random) {}

  boost::asio::awaitable<coordination::pool::transaction_result> Apply(
      coordination::pool::store_transaction transaction, std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::rows_result> ReadRange(
      std::string table, std::string partition, std::string from, std::string to,
      std::chrono::milliseconds timeout) override;
  boost::asio::awaitable<coordination::pool::rows_result> Follow(std::string table, std::int64_t version,
                                                                 std::chrono::milliseconds wait,
                                                                 std::chrono::milliseconds timeout) override;

  /// True while this VM does not reach the store.
  bool is_cut = false;
  /// Share of writes whose answer is lost, and of writes that are applied up to two seconds later.
  double lost_share = 0;
  double late_share = 0;

 private:
  boost::asio::awaitable<void> ApplyLate(coordination::pool::store_transaction transaction,
                                         std::chrono::milliseconds delay);

  memory_store& store_;
  std::mt19937_64& random_;
};

}  // namespace hickorystall::tests
