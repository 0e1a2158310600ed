#pragma once

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "coordination/gang_controller.h"
#include "coordination/job_store.h"
#include "coordination/lease_renewer.h"
#include "coordination/pool_lease.h"
#include "coordination/worker_watcher.h"
#include "protocol/table_client.h"
#include "protocol/worker_client.h"
#include "state/scheduling/decision.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

/// Settings of a scheduler instance and of its parts.
struct scheduler_settings {
  pool_lease_settings lease;
  job_store_settings store;
  worker_watcher_settings watcher;
  gang_controller_settings gangs;
  lease_renewer_settings renewer;
  /// Interval at which the inbox is read when no wakeup arrives.
  std::chrono::milliseconds inbox_interval{250};
  /// Longest time between two decisions; they are also made after each change.
  std::chrono::milliseconds decision_interval{500};
  /// Interval at which the platform's list of leaving VMs is read.
  std::chrono::milliseconds vm_list_interval{1000};
};

/// Decision functions, replaceable in tests.
struct decision_functions {
  /// See state::Decide.
  std::function<state::scheduling_decision(const state::scheduling_snapshot&, state::wall_time)> decide;
  /// See state::ExplainImpossible.
  std::function<std::string(const state::cluster_config&, const state::workspace_config&,
                            const state::job_spec&)>
      explain_impossible;
};

/// One scheduler instance. It competes for the ownership of its pool; as the owner it accepts jobs, makes
/// scheduling decisions and carries them out. Use it on one loop only, except RequestDump, WakeUpInbox and
/// ready.
class scheduler_loop {
 public:
  using config_source = lease_renewer::config_source;
  using vm_source = std::function<boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>>()>;

  /// The references must outlive the loop. `leaving_vms` reads the platform's list of leaving VMs.
  scheduler_loop(protocol::table_client& table, protocol::worker_client& client, scheduler_settings settings,
                 decision_functions functions, config_source config, vm_source leaving_vms,
                 lease_renewer::peer_source live_peers);

  /// Runs until `stop` returns true, then releases the pool.
  boost::asio::awaitable<void> Run(std::function<bool()> stop);
  /// Makes the loop read the inbox in its next step, because it has new rows. Thread-safe.
  void WakeUpInbox();
  /// True once the loop runs and either holds a configuration without owning the pool, or owns the pool and
  /// has loaded its jobs. Thread-safe.
  bool ready() const { return ready_; }
  /// Returns the state for the dump. It is collected on the loop, and the caller blocks for up to one second.
  /// Thread-safe.
  nlohmann::json RequestDump() const;

 private:
  boost::asio::awaitable<void> RunStep();
  boost::asio::awaitable<bool> Prepare();
  boost::asio::awaitable<void> ApplyInbox();
  boost::asio::awaitable<void> DecideAndCommit();
  boost::asio::awaitable<void> WatchVmList(std::function<bool()> stop);
  boost::asio::awaitable<void> WaitForWork();
  void ApplyCommand(job_batch& batch, const state::scheduling_command& command, state::wall_time now) const;
  std::string ExplainRefusal(const state::job_record& record) const;
  void WakeUp();
  nlohmann::json MakeDump() const;

  const scheduler_settings settings_;
  const decision_functions functions_;
  const config_source config_;
  const vm_source leaving_vms_;
  pool_lease lease_;
  job_store store_;
  worker_watcher watcher_;
  gang_controller gangs_;
  lease_renewer renewer_;
  std::optional<boost::asio::any_io_executor> executor_;
  std::optional<transport::async_event> wakeup_event_;
  std::shared_ptr<const state::versioned_config> watched_config_;
  std::int64_t loaded_acquisition_ = 0;
  std::map<std::string, std::string> waiting_reasons_;
  pool_lease::clock::time_point next_inbox_;
  pool_lease::clock::time_point next_decision_;
  bool changed_ = true;
  std::int64_t decisions_ = 0;
  std::chrono::microseconds longest_decision_{0};
  std::atomic<bool> inbox_wakeup_{false};
  std::atomic<bool> started_{false};
  std::atomic<bool> ready_{false};
  // Background coroutines that have not ended.
  int background_ = 0;
};

}  // namespace hickorystall::coordination
