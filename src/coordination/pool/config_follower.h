#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_store.h"
#include "state/pool/evacuation_set.h"
#include "state/pool/pool_config.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// Location of the configuration in the store, and its decoder.
struct config_source {
  std::string table;
  std::string key;
  std::function<absl::StatusOr<state::pool::pool_config>(std::string_view)> decode;
  /// Returns the failure domain that a row with the given key evacuates, which is empty if the key names
  /// none, or nullopt for another key. May be null where the table has no such rows.
  std::function<std::optional<std::string>(std::string_view)> evacuated_domain = nullptr;
  /// Age from which on the evacuations are not used, which the follower keeps them below; 0 for no limit.
  std::chrono::milliseconds max_evacuation_age{0};
};

/// Follows the configuration and the evacuated failure domains, which are rows of the same table of the
/// store, and tracks how fresh they are. A revoked credential must not work on a
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
  /// The evacuated failure domains; not null. Replaced by another object when they change.
  const std::shared_ptr<const state::pool::evacuation_set>& evacuations() const { return evacuations_; }
  /// Reads the table once, beside Run, so that `fresh_at` becomes the time of this call if the store replies.
  boost::asio::awaitable<void> Refresh();
  /// Latest time at which `config` and `evacuations` are known to have been the newest.
  state::pool::boot_time fresh_at() const { return fresh_at_; }
  /// Sets the function that is called after each change of the configuration or of the evacuations.
  void SetListener(std::function<void()> listener) { listener_ = std::move(listener); }

 private:
  // Applies the rows of the whole table, or those that changed after `position_`, oldest change first.
  void ApplyRows(const std::vector<stored_row>& rows, bool is_snapshot);
  void ApplyConfig(const stored_row& row);
  void ApplyEvacuation(const stored_row& row, state::pool::evacuation_set& evacuations);
  boost::asio::awaitable<bool> ReadAll();
  boost::asio::awaitable<bool> FollowOnce();

  pool_store& store_;
  event_log& log_;
  const config_source source_;
  // Maximum wait of one feed call.
  const std::chrono::milliseconds feed_wait_;
  std::shared_ptr<const state::pool::pool_config> config_;
  std::shared_ptr<const state::pool::evacuation_set> evacuations_ =
      std::make_shared<const state::pool::evacuation_set>();
  // True once a key without the name of a domain has been logged.
  bool has_logged_unnamed_ = false;
  state::pool::boot_time fresh_at_{};
  std::int64_t position_ = 0;
  bool reachable_ = true;
  bool stopped_ = false;
  std::function<void()> listener_;
};

}  // namespace hickorystall::coordination::pool
