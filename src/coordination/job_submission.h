#pragma once

#include <absl/status/statusor.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "coordination/claim_store.h"
#include "protocol/table_client.h"
#include "state/config/cluster_config.h"
#include "state/error_kind.h"
#include "state/ranked_mutex.h"
#include "state/scheduling/job.h"
#include "transport/async_event.h"
#include "transport/event_loop_pool.h"

namespace hickorystall::coordination {

/// Result of a call on jobs: a document or a refusal.
struct job_result {
  /// Set when the call was refused; empty for a document.
  std::optional<state::error_kind> refusal;
  /// Reason for the refusal, in one sentence.
  std::string message;
  /// HTTP status of a document.
  int status = 200;
  /// JSON document; null for a refusal.
  nlohmann::json body;
};

/// Accepts, shows and cancels jobs through the rows that the pool's owner reads (docs/design.md, section 5).
/// A job of another workspace is treated as if it did not exist. Thread-safe.
class job_submission {
 public:
  using config_ptr = std::shared_ptr<const state::versioned_config>;
  /// Longest time for which Get waits.
  static constexpr std::chrono::milliseconds kMaxWait{60000};

  /// `pool_name` is the pool that jobs are submitted to. `send_wakeup` notifies the schedulers of a new row
  /// in the pool's inbox. The references must outlive the object.
  job_submission(protocol::table_client& table, transport::event_loop_pool& event_loops,
                 std::string pool_name, std::function<void(const std::string& pool)> send_wakeup);

  /// Stores a job. With an idempotency key the job is stored once, however often the call is repeated.
  boost::asio::awaitable<job_result> Submit(config_ptr config, std::string workspace, std::string body,
                                            std::string idempotency_key);
  /// Returns a job. With a positive `wait` it responds when the job is final or the time has passed.
  boost::asio::awaitable<job_result> Get(std::string workspace, std::string job_id,
                                         std::chrono::milliseconds wait);
  /// Returns all jobs of the workspace.
  boost::asio::awaitable<job_result> List(std::string workspace);
  /// Requests the cancellation of jobs from the pool's owner. Each job gets one result: accepted, already
  /// final or not found.
  boost::asio::awaitable<job_result> Cancel(std::string workspace, std::vector<std::string> job_ids);

  /// Ends all waits when the process stops.
  void StopWaiting() { stopping_ = true; }
  /// Jobs that callers wait for, with the number of waiters.
  nlohmann::json Dump() const;

 private:
  using read_result = absl::StatusOr<std::optional<state::job_record>>;
  // Shared by all callers that wait for one job, so that its row is read once for all of them.
  struct watch {
    int waiters = 0;
    std::vector<transport::async_event> events;
    std::optional<state::job_record> last;
  };

  boost::asio::awaitable<read_result> ReadJob(std::string workspace, std::string job_id);
  boost::asio::awaitable<absl::StatusOr<std::map<std::string, state::job_record>>> ScanJobs(
      std::string workspace);
  boost::asio::awaitable<job_result> Store(const state::job_record& record, std::string claim_key,
                                           std::string digest);
  boost::asio::awaitable<job_result> RespondFromClaim(std::string claim_key, std::string digest);
  boost::asio::awaitable<bool> IsOverQuota(const state::cluster_config& config, std::string workspace);
  boost::asio::awaitable<absl::Status> PutCancels(std::vector<std::string> job_ids);
  std::shared_ptr<watch> JoinWatch(const std::string& job_id, const transport::async_event& event);
  void LeaveWatch(const std::string& job_id, const std::shared_ptr<watch>& watched);
  boost::asio::awaitable<void> PollWatch(std::string job_id, std::shared_ptr<watch> watched);

  protocol::table_client& table_;
  transport::event_loop_pool& event_loops_;
  const std::string pool_name_;
  const std::function<void(const std::string& pool)> send_wakeup_;
  std::atomic<bool> stopping_{false};
  // Guards the members below.
  mutable state::ranked_mutex mutex_{state::lock_rank::kJobTable};
  std::map<std::string, std::shared_ptr<watch>> watches_;
  // Unfinished jobs by workspace at the last count plus later submissions, and the time of that count.
  std::map<std::string, int> counts_;
  std::chrono::steady_clock::time_point counted_at_;
};

}  // namespace hickorystall::coordination
