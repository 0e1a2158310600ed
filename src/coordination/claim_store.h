#pragma once

#include <absl/status/statusor.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "protocol/table_client.h"
#include "state/ranked_mutex.h"
#include "transport/event_loop_pool.h"

namespace hickorystall::coordination {

/// State of a claim.
enum class claim_state {
  /// The key was never claimed.
  kAbsent,
  /// The claim was released because the request certainly did not run; the key may be claimed again.
  kReleased,
  /// A gateway sends or has sent the request to the target in the record.
  kClaimed,
  /// The response is known.
  kDone,
  /// The target could not report the outcome within the time limit. Final: the key never runs again.
  kUnresolved,
};

/// The row of one idempotency key.
struct claim_record {
  claim_state state = claim_state::kAbsent;
  /// Version of the row; 0 when absent.
  std::int64_t version = 0;
  /// Token of the last write.
  std::string writer;
  /// SHA-256 of the request, to detect a key that is used for another request.
  std::string digest;
  /// Name of the target that the request is sent to.
  std::string target;
  /// "ip:port" of the target.
  std::string address;
  /// Id of the execution on the target.
  std::string execution;
  /// Time for which a settlement queries the outcome before it gives up.
  std::chrono::milliseconds settle_limit{0};
  /// HTTP status of the response; 0 until it is known.
  int status = 0;
  /// Content type of the response.
  std::string content_type;
  /// Body of the response.
  std::string body;
  /// Name of the object that holds the body, when it is too large for a row.
  std::string object;
};

/// Returns the row value of `record`. It includes the body unless `object` is set.
std::string EncodeClaim(const claim_record& record);
/// Parses a row value. Returns kDataLoss when it is not a claim.
absl::StatusOr<claim_record> DecodeClaim(std::string_view text);

/// Rows that make non-idempotent requests run at most once (docs/design.md, section 5.5). Thread-safe.
class claim_store {
 public:
  /// Bodies above this size go into the object store.
  static constexpr std::size_t kMaxBodyInRow = std::size_t{16} * 1024;

  /// The references must outlive the store.
  claim_store(protocol::platform_client& platform, transport::event_loop_pool& event_loops);

  /// Reads the claim of `key`, from this gateway's memory while its outcome is being written, else from the
  /// table with its body. Returns kUnavailable when the table cannot be read.
  boost::asio::awaitable<absl::StatusOr<claim_record>> Read(std::string key);
  /// Returns the outcome of `key` that this gateway has not stored yet, so that duplicates get a response
  /// while the store is unreachable.
  std::optional<claim_record> PendingOutcome(const std::string& key) const;
  /// Writes `record` over the row with `record.version` and returns the new version. Returns kAborted when
  /// another writer was faster, kUnavailable when the row was certainly not written, and kUnknown when it may
  /// have been.
  boost::asio::awaitable<absl::StatusOr<std::int64_t>> Write(std::string key, claim_record record);
  /// Writes the outcome of a claim in the background until it is stored or the process stops. Read returns it
  /// from now on.
  void Complete(const std::string& key, claim_record record);
  /// Releases a claim whose request certainly did not run. The write is repeated in the background until it
  /// is stored or the process stops.
  void Release(const std::string& key, claim_record record);

  /// Blocks for at most `limit` while writes are pending, then ends them; other gateways settle the remaining
  /// claims.
  void Finish(std::chrono::milliseconds limit);
  /// Number of pending writes.
  int pending() const { return pending_count_; }
  /// Keys with pending writes and the states to write.
  nlohmann::json Dump() const;

 private:
  boost::asio::awaitable<void> WriteUntilStored(std::string key, std::shared_ptr<claim_record> record);
  boost::asio::awaitable<bool> StoreOnce(const std::string& key, claim_record& record);
  boost::asio::awaitable<absl::StatusOr<claim_record>> ReadRow(std::string key);

  protocol::platform_client& platform_;
  transport::event_loop_pool& event_loops_;
  std::atomic<int> pending_count_{0};
  std::atomic<bool> stopping_{false};
  // Guards `pending_`.
  mutable state::ranked_mutex mutex_{state::lock_rank::kClaimTable};
  std::map<std::string, std::shared_ptr<claim_record>> pending_;
};

}  // namespace hickorystall::coordination
