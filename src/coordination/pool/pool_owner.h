#pragma once

#include <absl/status/statusor.h>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/pool/config_follower.h"
#include "coordination/pool/event_log.h"
#include "coordination/pool/learned_record.h"
#include "coordination/pool/ownership.h"
#include "coordination/pool/pool_store.h"
#include "coordination/pool/progress_writer.h"
#include "coordination/pool/silence_record.h"
#include "coordination/pool/table_feed.h"
#include "coordination/pool/tombstone_sweeper.h"
#include "coordination/pool/worker_orders.h"
#include "state/pool/admission/pool_admission.h"
#include "state/pool/pool_state.h"
#include "state/pool/wait_monitor.h"
#include "transport/boot_clock.h"
#include "transport/wake_signal.h"

namespace hickorystall::coordination::pool {

/// Table in which workers register, and the decoder of its rows. A row that cannot be decoded is logged and
/// ignored.
struct registry_source {
  std::string table;
  std::function<absl::StatusOr<state::pool::worker_registration>(const stored_row&)> decode;
};

/// Dependencies of a pool_owner. All must outlive it.
struct pool_owner_parts {
  pool_store* store = nullptr;
  worker_orders* orders = nullptr;
  ownership* owner = nullptr;
  config_follower* config = nullptr;
  event_log* log = nullptr;
  const transport::smoothed_wall_clock* wall_clock = nullptr;
  registry_source registry;
};

/// Manages the pool during one ownership: loads the stored jobs, reads what runs on the workers, plans, sends
/// orders to the workers, renews their leases and stores the ends of runs. It sends no order without
/// authority.
class pool_owner : public std::enable_shared_from_this<pool_owner> {
 public:
  pool_owner(pool_owner_parts parts, state::pool::pool_settings settings, std::int64_t epoch,
             const boost::asio::any_io_executor& executor);

  /// Loads the pool and starts all loops, which run until Stop.
  void Start();
  /// Ends all loops. No order is sent afterwards.
  void Stop();
  /// Triggers a planning pass.
  void Wake() { wake_.Notify(); }
  /// The pool's jobs and workers, for dumps and tests.
  const state::pool::pool_state& state() const { return state_; }
  /// Returns the number of workers by condition and of waiting jobs by cause, in the Prometheus text format
  /// (version 0.0.4).
  std::string MetricsToText() const;

 private:
  // True while the lists of `worker` must be read or its lease must be renewed.
  static bool NeedsSession(const state::pool::worker_entry& worker);
  bool MayOrder() const { return !stopped_ && parts_.owner->HasAuthority(); }
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> Load();
  boost::asio::awaitable<bool> LoadJobs();
  void ApplyStoredJobs(const rows_result& progress, const rows_result& continuations,
                       const rows_result& jobs);
  boost::asio::awaitable<bool> LoadWorkers();
  boost::asio::awaitable<void> FollowJobs();
  boost::asio::awaitable<void> FollowRegistry();
  boost::asio::awaitable<void> RecordWorkers();
  boost::asio::awaitable<void> StoreWorkers(std::map<std::string, std::string> addresses);
  boost::asio::awaitable<void> PlanLoop();
  // Has the evacuations confirmed by the store after the takeover.
  boost::asio::awaitable<void> ConfirmEvacuations();
  // Applies the newest evacuations to the state. Called before each use, since a wake-up of the planning loop
  // takes some time.
  void ApplyEvacuations();
  // Returns whether the evacuations are known well enough to start work.
  bool AreEvacuationsCurrent() const;
  boost::asio::awaitable<void> RunSession(std::string worker);
  boost::asio::awaitable<bool> RenewWorker(std::string worker);
  // Returns whether the known incarnation of `worker` replied lately, and after `time`. If it did not, asks
  // it with a call that neither grants a lease nor acknowledges ends, since another incarnation may receive
  // it.
  boost::asio::awaitable<bool> ConfirmIncarnation(std::string worker, state::pool::boot_time time);
  boost::asio::awaitable<void> AskIncarnation(std::string worker);
  // Handles a call for the lists of `worker` that did not return them.
  void HandleFailedCall(const std::string& worker, const lists_reply& reply);
  // Sends a start once. Its lease ends at `deadline`, which the first attempt sets.
  boost::asio::awaitable<order_reply> TryStart(const state::pool::worker_order& order,
                                               std::optional<state::pool::worker_time>& deadline);
  boost::asio::awaitable<void> SendStarts(std::string job, std::vector<state::pool::worker_order> orders);
  boost::asio::awaitable<void> SendStart(state::pool::worker_order order);
  boost::asio::awaitable<void> SendStop(state::pool::worker_order order);
  // Calls `apply` and logs an exception as `event`. A row that cannot be applied must not end the ownership:
  // every later owner would read the same row.
  void ApplyGuarded(std::string_view event, const stored_row& row, const std::function<void()>& apply);
  void ApplyJobRow(const stored_row& row);
  void ApplyRegistryRow(const stored_row& row);
  // Marks a worker as gone.
  void RemoveWorker(const std::string& id);
  // Marks the listed workers that are not in `present` as gone.
  void RemoveUnlisted(const std::set<std::string_view>& present);
  void PlanOnce();
  // Returns whether jobs and registrations are known well enough to start work, and logs each change of that.
  bool IsKnowledgeFresh(state::pool::boot_time now);
  // Counts the starts of `plan`, and hands the projection for new jobs to the lease, if it is time for the
  // next one.
  void Project(const state::pool::pool_plan& plan, state::pool::boot_time now,
               state::pool::unix_time wall_now);
  void StartSessions();
  void DispatchOrders();
  void LogEvents();
  // Logs which jobs wait and why, once in each reporting interval. `unplaced` is null if no plan was made.
  void LogWaits(const std::vector<state::pool::unplaced_step>* unplaced, state::pool::boot_time now);
  std::array<int, state::pool::kWorkerConditions> CountWorkers(state::pool::boot_time now) const;
  void HandleNoReply(const std::string& worker, const lists_reply& reply);
  void LogFailedCall(const std::string& worker, const std::exception& failure);
  void HandleReply(const std::string& worker, const order_reply& reply);
  order_address AddressOf(const state::pool::worker_entry& worker) const;
  void Spawn(boost::asio::awaitable<void> work);
  void HandleLoopFailure(const std::exception_ptr& failure);

  const pool_owner_parts parts_;
  const boost::asio::any_io_executor executor_;
  state::pool::pool_state state_;
  progress_writer writer_;
  silence_record silence_;
  learned_record learned_;
  tombstone_sweeper tombstones_;
  transport::wake_signal wake_;
  transport::wake_signal registry_changed_;
  table_feed jobs_feed_;
  table_feed registry_feed_;
  // True while starts are held back because one of the feeds is outdated.
  bool is_outdated_ = false;
  // When this object was made, which is after the takeover.
  const state::pool::boot_time owned_since_;
  // Version of the stored row that lists the workers.
  std::int64_t workers_version_ = 0;
  // True while that row may name other workers than `pool_state::recorded_workers`, because it was unreadable
  // or the reply to a write was lost.
  bool is_workers_row_unknown_ = false;
  // Workers for which RunSession is active.
  std::set<std::string> sessions_;
  // Calls of AskIncarnation that have no reply yet, by worker. Notified at their end.
  std::map<std::string, std::shared_ptr<transport::wake_signal>> incarnation_calls_;
  state::pool::wait_monitor waits_;
  // When `waits_` was last updated.
  state::pool::boot_time waits_updated_at_{};
  state::pool::admission::drain_meter drained_;
  state::pool::admission::admission_projection projection_;
  state::pool::boot_time projected_at_{};
  bool stopped_ = false;
};

}  // namespace hickorystall::coordination::pool
