#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "protocol/worker_client.h"
#include "state/config/cluster_config.h"
#include "state/scheduling/decision.h"

namespace hickorystall::coordination {

/// Settings of the worker watcher.
struct worker_watcher_settings {
  /// Longest time for which a worker may hold back an unchanged list. An unreachable worker is noticed after
  /// this time plus `grace`. An idle worker costs one exchange of about 400 B per wait, so 50 workers cost
  /// 4 KB/s at 5 s.
  std::chrono::milliseconds wait{5000};
  /// Time for a reply beyond the wait.
  std::chrono::milliseconds grace{1000};
  /// Delay between attempts while a worker is unreachable.
  std::chrono::milliseconds retry{250};
};

/// Last known state of one worker.
struct watched_worker {
  using clock = std::chrono::steady_clock;
  /// "ip:port".
  std::string endpoint;
  /// True when the last exchange succeeded.
  bool reachable = false;
  /// True once a list was read.
  bool reported = false;
  /// When the last list was requested. It contains every task that was confirmed before.
  clock::time_point requested_at;
  /// When the worker last replied, or when the watch began.
  clock::time_point last_reply_at;
  /// Tasks of the last list, by lease.
  std::map<std::string, protocol::worker_task> tasks;
  /// Sequence and incarnation of the last list.
  std::int64_t sequence = -1;
  std::string incarnation;
  /// True when an operator drained the worker or the platform lists it as leaving.
  bool leaving = false;
  /// Score by the outcomes of its tasks. `available` is not kept here; Statuses sets it.
  state::worker_status score;
};

/// Keeps one long poll open to each worker of the inventory, and scores workers by the outcome of their
/// tasks. Not thread-safe: use it on one loop.
class worker_watcher {
 public:
  using clock = std::chrono::steady_clock;

  /// `client` must outlive the watcher and its executor's loop. `on_change` is called after each change.
  worker_watcher(protocol::worker_client& client, worker_watcher_settings settings,
                 std::function<void()> on_change);

  /// Watches exactly the workers of `config` from now on, each on `executor`.
  void Watch(const state::cluster_config& config, const boost::asio::any_io_executor& executor);
  /// Ends all watches and discards the lists and scores.
  void Clear();
  /// Sets the VMs that the platform lists as leaving.
  void SetLeaving(std::set<std::string> leaving);
  /// Returns a worker, or null for one that is not in the inventory.
  const watched_worker* Find(const std::string& name) const;
  /// Watched workers by name.
  const std::map<std::string, std::shared_ptr<watched_worker>>& workers() const { return workers_; }
  /// Records that a task of `job` succeeded or failed on worker `name`.
  void RecordOutcome(const std::string& name, const state::job_record& job, bool succeeded,
                     state::wall_time now);
  /// State of all workers for a decision.
  std::map<std::string, state::worker_status> Statuses() const;
  /// State for the dump, with the reason why a worker is avoided.
  nlohmann::json Dump(state::wall_time now) const;

 private:
  boost::asio::awaitable<void> WatchWorker(std::shared_ptr<watched_worker> worker, std::string name);
  void ApplyReport(watched_worker& worker, const protocol::worker_report& report,
                   clock::time_point requested_at);
  bool IsWatched(const std::string& name, const std::shared_ptr<watched_worker>& worker) const;

  protocol::worker_client& client_;
  const worker_watcher_settings settings_;
  const std::function<void()> on_change_;
  std::map<std::string, std::shared_ptr<watched_worker>> workers_;
  std::set<std::string> leaving_;
  std::set<std::string> drained_;
};

}  // namespace hickorystall::coordination
