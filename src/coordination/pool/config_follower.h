#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/pool_config.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Location of the configuration in the store, and its decoder.
struct config_source {
  std::string table;
  std::string key;
  std::function<absl::StatusOr<state::pool::pool_config>(std::string_view)> decode;
};

/// Follows the configuration in the store and tracks how fresh it is. A revoked credential must not work on a
/// VM that cannot see the revocation, so callers refuse requests unless the configuration is known to be
/// fresh.
class config_follower {
 public:
  /// `store` and `log` must outlive the follower.
  config_follower(pool_store& store, event_log& log, config_source source);

  /// Follows the configuration until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }

  /// The newest configuration; null until the first one has been read.
  std::shared_ptr<const state::pool::pool_config> config() const { return config_; }
  /// Latest time at which `config` is known to have been the newest.
  state::pool::boot_time fresh_at() const { return fresh_at_; }
  /// Sets the function that is called after each change of the configuration.
  void SetListener(std::function<void()> listener) { listener_ = std::move(listener); }

 private:
  void ApplyRow(const stored_row& row);
  boost::asio::awaitable<bool> ReadAll();
  boost::asio::awaitable<bool> FollowOnce();

  pool_store& store_;
  event_log& log_;
  const config_source source_;
  std::shared_ptr<const state::pool::pool_config> config_;
  state::pool::boot_time fresh_at_{};
  std::int64_t position_ = 0;
  bool reachable_ = true;
  bool stopped_ = false;
  std::function<void()> listener_;
};

}  // namespace hickorystall::coordination::pool
