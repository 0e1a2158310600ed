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

/// Where the configuration lies and how it is read.
struct config_source {
  std::string table;
  std::string key;
  std::function<absl::StatusOr<state::pool::pool_config>(std::string_view)> decode;
};

/// Keeps the newest configuration and knows how fresh it is. A credential that was revoked must not work on a
/// VM that cannot see the revocation, so callers refuse when the configuration is not proven fresh.
class config_follower {
 public:
  /// `store` and `log` must outlive the follower.
  config_follower(pool_store& store, event_log& log, config_source source);

  /// Follows the configuration until Stop.
  boost::asio::awaitable<void> Run();
  void Stop() { stopped_ = true; }

  /// The newest configuration, or null before the first.
  std::shared_ptr<const state::pool::pool_config> config() const { return config_; }
  /// Time at which `config` was the newest for certain.
  state::pool::boot_time fresh_at() const { return fresh_at_; }
  /// Called after each change.
  void SetListener(std::function<void()> listener) { listener_ = std::move(listener); }

 private:
  void Take(const stored_row& row);
  boost::asio::awaitable<bool> ReadWhole();
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
