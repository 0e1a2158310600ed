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
  /// Time that a worker may hold an unchanged list back. A silent worker is noticed after this and `grace`.
  /// An idle worker costs one exchange of about 400 B per wait, so 50 workers cost 4 KB/s at 5 s.
  std::chrono::milliseconds wait{5000};
  /// Time for an answer beyond the wait.
  std::chrono::milliseconds grace{1000};
  /// Interval between attempts while a worker does not answer.
  std::chrono::milliseconds retry{250};
};

/// What the watcher knows of one worker.
struct watched_worker {
  using clock = std::chrono::steady_clock;
  /// "ip:port".
  std::string endpoint;
  /// True when the last exchange succeeded.
  bool reachable = false;
  /// True once a list was read.
  bool reported = false;
  /// When the last list was asked for: it holds every task confirmed before.
  clock::time_point asked_at;
  /// When the worker last answered, or when the watch began.
  clock::time_point answered_at;
  /// Last list, by lease.
  std::map<std::string, protocol::worker_task> tasks;
  /// Sequence and incarnation of the last list.
  std::int64_t sequence = -1;
  std::string incarnation;
  /// Drained by an operator or leaving by the platform's list.
  bool leaving = false;
  /// Score by the outcome of its tasks; `available` is not kept here.
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
  /// Ends all watches and forgets the lists; the scores stay.
  void Clear();
  /// Takes the platform's list of leaving VMs.
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
  boost::asio::awaitable<void> WatchOne(std::shared_ptr<watched_worker> worker, std::string name);
  void TakeReport(watched_worker& worker, const protocol::worker_report& report, clock::time_point asked_at);
  bool IsWatched(const std::string& name, const std::shared_ptr<watched_worker>& worker) const;

  protocol::worker_client& client_;
  const worker_watcher_settings settings_;
  const std::function<void()> on_change_;
  std::map<std::string, std::shared_ptr<watched_worker>> workers_;
  std::set<std::string> leaving_;
  std::set<std::string> drained_;
};

}  // namespace hickorystall::coordination
