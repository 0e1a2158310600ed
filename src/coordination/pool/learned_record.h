#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <string>

#include "coordination/pool/event_log.h"
#include "coordination/pool/ownership.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_state.h"
#include "transport/wake_signal.h"

namespace hickorystall::coordination::pool {

/// Stores what the owner has learned of run times and speeds, so that the next owner need not learn it anew.
/// Losing the row loses only that, so a write that fails is dropped. Also logs the classes of the workers.
class learned_record {
 public:
  /// Interval at which the row is compared with the state, and written if it differs materially. A pool in
  /// which nothing runs learns nothing, so nothing is written there.
  static constexpr std::chrono::milliseconds kCheckInterval{5'000};

  /// The arguments must outlive the record.
  learned_record(pool_store& store, event_log& log, ownership& owner, state::pool::pool_state& state,
                 const boost::asio::any_io_executor& executor,
                 std::chrono::milliseconds check_interval = kCheckInterval);

  /// Reads the row of an earlier owner, once the workers are loaded. Begins anew if there is none.
  boost::asio::awaitable<void> Load();
  /// Keeps the row up to date until Stop.
  boost::asio::awaitable<void> Run();
  void Stop();
  /// Returns the workers by class, and the writes of the row, in the Prometheus text format (version 0.0.4).
  std::string MetricsToText() const;

 private:
  boost::asio::awaitable<void> Store(state::pool::learning::learned_state learned);
  // Logs how many workers are in each class and which have changed theirs, if any has.
  void LogClasses(state::pool::boot_time now);

  pool_store& store_;
  event_log& log_;
  ownership& owner_;
  state::pool::pool_state& state_;
  transport::wake_signal wake_;
  const std::chrono::milliseconds check_interval_;
  // Content of the row as last read or written by this owner.
  state::pool::learning::learned_state stored_;
  // Classes at the latest log record, without workers of normal speed.
  std::map<std::string, state::pool::learning::speed_class> logged_classes_;
  state::pool::boot_time logged_at_{};
  int writes_ = 0;
  int failed_writes_ = 0;
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
