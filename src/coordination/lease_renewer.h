#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/table_client.h"
#include "protocol/worker_client.h"
#include "state/config/cluster_config.h"

namespace hickorystall::coordination {

/// Settings of the lease renewer (docs/design.md, section 5.4).
struct lease_renewer_settings {
  /// Pool whose revoked leases are not renewed.
  std::string pool;
  /// Name of this instance.
  std::string instance;
  /// Term that a renewal grants.
  std::chrono::milliseconds lease_term{15000};
  /// Interval between renewals of one worker's leases.
  std::chrono::milliseconds interval{5000};
  /// Deadline of one call to a worker.
  std::chrono::milliseconds call_timeout{1000};
};

/// The schedulers that share the renewal of task leases.
struct renewal_peers {
  /// Names of the live schedulers, this one included; empty makes this instance renew for all workers.
  std::vector<std::string> live;
  /// True when another live scheduler reports that it can reach the table.
  bool others_reach_store = false;
};

/// Renews the task leases of this instance's share of the workers, based on the tasks that each worker lists,
/// even while the store is unreachable. A lease that was stopped or has expired cannot be revived on the
/// worker, and a lease that the pool's owner has revoked is left to expire. If this instance cannot reach the
/// store but another one can, it renews nothing, because it cannot know which leases were revoked. Not
/// thread-safe: use it on one loop.
class lease_renewer {
 public:
  using config_source = std::function<std::shared_ptr<const state::versioned_config>()>;
  using peer_source = std::function<renewal_peers()>;

  /// `client` and `table` must outlive the renewer.
  lease_renewer(protocol::worker_client& client, protocol::table_client& table,
                lease_renewer_settings settings, config_source config, peer_source peers);

  /// Renews until `stop` returns true.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);
  /// Renews once for every worker of this instance's share.
  boost::asio::awaitable<void> RenewAll();
  /// State for the dump.
  nlohmann::json Dump() const;

 private:
  boost::asio::awaitable<void> RenewWorker(std::string endpoint);
  boost::asio::awaitable<bool> ReadRevoked();

  protocol::worker_client& client_;
  protocol::table_client& table_;
  const lease_renewer_settings settings_;
  const config_source config_;
  const peer_source peers_;
  std::set<std::string> revoked_;
  std::int64_t renewed_ = 0;
  std::int64_t failed_calls_ = 0;
  std::int64_t skipped_rounds_ = 0;
  std::size_t workers_in_share_ = 0;
};

/// Number of peers that renew the leases of each worker. With two, a peer may fail without a lease expiring
/// before the others count it as dead: detection after 6 s and the next renewal another 5 s later would come
/// too close to the term of 15 s.
inline constexpr std::size_t kRenewersPerWorker = 2;

/// True when `self` is one of the kRenewersPerWorker peers with the highest hash of their own and the
/// worker's name (rendezvous hashing), so that losing a peer reassigns only that peer's workers.
bool IsResponsible(const std::vector<std::string>& peers, std::string_view self, std::string_view worker);

}  // namespace hickorystall::coordination
