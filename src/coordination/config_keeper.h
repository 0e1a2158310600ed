#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "coordination/config_store.h"
#include "protocol/table_client.h"
#include "state/config/cluster_config.h"
#include "state/ranked_mutex.h"

namespace hickorystall::coordination {

/// Settings of the configuration keeper.
struct config_keeper_settings {
  /// Interval at which the head row is read.
  std::chrono::milliseconds poll_interval{1000};
  /// Time without contact with the store or a peer after which the instance is not ready.
  std::chrono::milliseconds contact_limit{3000};
};

/// Holds the configuration in force. The version only increases, whether a configuration comes from the table
/// or from a peer. Thread-safe.
class config_keeper {
 public:
  using config_ptr = std::shared_ptr<const state::versioned_config>;
  using listener = std::function<void(const config_ptr&)>;

  /// `table` must outlive the keeper. `read_object` reads the documents that are too large for a row.
  config_keeper(protocol::table_client& table, object_reader read_object, config_keeper_settings settings);

  /// The configuration in force; null before the first.
  config_ptr current() const;
  /// Version in force; 0 before the first.
  std::int64_t version() const;
  /// Adopts `text` as `version` when it is higher than the one in force and valid. Returns true when adopted.
  bool Offer(std::int64_t version, std::string text);
  /// Records that a message from a peer arrived at `now`.
  void RecordPeerContact(std::chrono::steady_clock::time_point now);
  /// True when a configuration is in force and there was contact with the store or a peer within the contact
  /// limit.
  bool IsReady(std::chrono::steady_clock::time_point now) const;
  /// True when the store replied within the contact limit.
  bool HasStoreContact(std::chrono::steady_clock::time_point now) const;
  /// Calls `on_change` after each adoption, on the thread that adopted. Add listeners before Run.
  void AddListener(listener on_change);

  /// Polls the table until `stop` returns true.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);

 private:
  boost::asio::awaitable<void> PollOnce();
  void RecordStoreContact(std::chrono::steady_clock::time_point now);

  protocol::table_client& table_;
  const object_reader read_object_;
  const config_keeper_settings settings_;
  // Guards the members below.
  mutable state::ranked_mutex mutex_{state::lock_rank::kConfig};
  config_ptr current_;
  std::chrono::steady_clock::time_point last_store_contact_;
  std::chrono::steady_clock::time_point last_peer_contact_;
  std::vector<listener> listeners_;
};

}  // namespace hickorystall::coordination
