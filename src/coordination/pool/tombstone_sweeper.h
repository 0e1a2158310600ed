#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "coordination/pool/event_log.h"
#include "coordination/pool/ownership.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_time.h"
#include "transport/wake_signal.h"

namespace hickorystall::coordination::pool {

/// Intervals of a tombstone_sweeper.
struct tombstone_lifetime {
  /// Time for which a tombstone is kept after this owner has first read it. A write without a reply may be
  /// applied seconds later, and a client may repeat a submission for as long as it waits for a reply.
  std::chrono::milliseconds kept{60'000};
  /// Interval between two reads of the tombstones.
  std::chrono::milliseconds sweep{30'000};
};

/// Removes tombstones that no late write of a submission can need any longer. The owner of the pool runs it;
/// after a change of owner the time starts anew.
class tombstone_sweeper {
 public:
  /// The references must outlive the sweeper.
  tombstone_sweeper(pool_store& store, event_log& log, ownership& owner,
                    const boost::asio::any_io_executor& executor, tombstone_lifetime lifetime = {});

  /// Removes tombstones until Stop.
  boost::asio::awaitable<void> Run();
  void Stop();

 private:
  struct known_tombstone {
    std::int64_t version = 0;
    state::pool::boot_time first_read_at{};
  };
  using tombstone_map = std::map<std::string, known_tombstone>;

  boost::asio::awaitable<void> Sweep(std::string partition);
  // Updates `known_` from the rows of `partition`. Returns the tombstones to remove.
  tombstone_map FindExpired(const std::string& partition, const rows_result& rows);

  pool_store& store_;
  event_log& log_;
  ownership& owner_;
  const tombstone_lifetime lifetime_;
  transport::wake_signal wake_;
  // Tombstones by partition and key.
  std::map<std::string, tombstone_map> known_;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
