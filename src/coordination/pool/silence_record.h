#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/pool/event_log.h"
#include "coordination/pool/ownership.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_state.h"
#include "transport/wake_signal.h"

namespace hickorystall::coordination::pool {

/// Stores which workers with runs do not reply, and when their last lease expires on the clock of the store.
/// A later owner then waits for that time only, instead of assuming that its predecessor renewed the lease
/// until the end of its authority. While the row may name a worker, this owner grants it no lease.
class silence_record {
 public:
  /// The arguments must outlive the record.
  silence_record(pool_store& store, event_log& log, ownership& owner, state::pool::pool_state& state,
                 const boost::asio::any_io_executor& executor);

  /// Reads the row of an earlier owner from `rows`. Returns the times after which no lease of an earlier
  /// owner is in force, by worker; empty unless the direct predecessor wrote the row.
  std::map<std::string, state::pool::boot_time> Load(const std::vector<stored_row>& rows);
  /// Keeps the row up to date until Stop.
  boost::asio::awaitable<void> Run();
  void Stop();
  /// Must be called when a worker stops replying or replies again.
  void Notify() { wake_.Notify(); }

 private:
  using expiry_times = std::map<std::string, std::chrono::milliseconds>;

  // Returns what the row must hold now.
  expiry_times Wanted() const;
  boost::asio::awaitable<void> Store(expiry_times wanted);
  // Withholds leases from all workers that the row may name.
  void WithholdLeases();

  pool_store& store_;
  event_log& log_;
  ownership& owner_;
  state::pool::pool_state& state_;
  transport::wake_signal wake_;
  // Content of the row as last written or read by this owner.
  expiry_times stored_;
  // Workers that writes with an unknown outcome may have added.
  std::set<std::string> unconfirmed_;
  std::int64_t version_ = 0;
  // True while the row may differ from `stored_`, or was written by another owner.
  bool is_row_unknown_ = false;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
