#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "coordination/pool/event_log.h"
#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_store.h"
#include "state/error_kind.h"
#include "state/pool/pool_config.h"
#include "state/pool/pool_time.h"
#include "state/routing/token_bucket.h"

namespace hickorystall::coordination::pool {

/// Result of a client's call about jobs.
struct job_api_result {
  /// Kind of the refusal; empty when the call is served.
  std::optional<state::error_kind> refusal;
  /// Explanation of a refusal for the client; empty when the call is served.
  std::string message;
  /// When the client should retry; empty for the usual time of the refusal's kind.
  std::optional<std::chrono::milliseconds> retry_after;
  /// Phase of the job. Set by ReadState.
  state::pool::job_phase phase = state::pool::job_phase::kQueued;
  /// Number of accepted jobs that have not started. Set by CountWaiting.
  int waiting_jobs = 0;
};

/// Serves clients' calls about jobs on any VM. It only reads and writes the store; the owner of the pool
/// receives jobs and cancellations through the store's change feed.
class job_api {
 public:
  /// `store` and `log` must outlive the object. `limits` are those of the store.
  job_api(pool_store& store, event_log& log, const progress_limits& limits = {});

  /// Stores a job. Submitting the same job again has no effect. Refuses a job that is too large to be stored,
  /// or whose id was cancelled before. `known_version` is a version of the store that a VM had seen when it
  /// received the call: a refusal of the job that was written before does not apply to this call. After a
  /// later one the job is refused again, since the client of that call was told that it does not run. Returns
  /// before `deadline`.
  boost::asio::awaitable<job_api_result> Submit(state::pool::job_submission submission,
                                                state::pool::boot_time deadline,
                                                std::int64_t known_version = 0);
  /// Refuses a job for overload, so that no earlier submission of it can be applied any longer. Must be
  /// called before this call has sent a submission. Returns the result of the earlier submission if the job
  /// is stored, and nullopt if it must not be refused because the refusal cannot be stored in time. A job
  /// that is too large to be stored is refused as Submit does.
  boost::asio::awaitable<std::optional<job_api_result>> RefuseOverload(state::pool::job_submission submission,
                                                                       state::pool::boot_time deadline,
                                                                       std::chrono::milliseconds retry_after);
  /// Reads the phase of a job. A job of another workspace is reported as unknown; an empty `workspace`
  /// matches all jobs.
  boost::asio::awaitable<job_api_result> ReadState(std::string workspace, std::string id);
  /// Stores the cancellation of a job of `workspace`. A job that is reported as unknown never starts: a
  /// submission of its id that is still being written, or follows within the lifetime of a tombstone, is
  /// refused. Returns before `deadline`.
  boost::asio::awaitable<job_api_result> Cancel(std::string workspace, std::string id,
                                                state::pool::boot_time deadline);
  /// Counts the accepted jobs of `queue` that have not started. The count may be one second old.
  boost::asio::awaitable<job_api_result> CountWaiting(std::string queue);

 private:
  struct job_rows {
    std::optional<state::error_kind> problem;
    std::optional<stored_progress> progress;
    bool is_cancelled = false;
  };
  boost::asio::awaitable<job_rows> ReadJob(std::string id);
  // Applies `transaction` until the store replies, at most until `deadline`. Returns nullopt after a
  // conflict.
  boost::asio::awaitable<std::optional<job_api_result>> ApplyUntil(store_transaction transaction,
                                                                   state::pool::boot_time deadline);
  // Stores the refusal of a job in one attempt after another, at most until `deadline`. `version` is that of
  // the tombstone to replace; 0 for none.
  boost::asio::awaitable<std::optional<job_api_result>> WriteRefusal(const state::pool::job_submission& job,
                                                                     std::int64_t version,
                                                                     state::pool::boot_time deadline);
  boost::asio::awaitable<bool> RefreshCounts();

  pool_store& store_;
  event_log& log_;
  const progress_limits limits_;
  state::token_bucket tombstone_limit_;
  state::token_bucket refusal_limit_;
  std::map<std::string, int> waiting_by_queue_;
  state::pool::boot_time counted_at_{};
};

}  // namespace hickorystall::coordination::pool
