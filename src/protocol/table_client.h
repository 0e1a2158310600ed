#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace hickorystall::protocol {

/// A row of the platform's table.
struct table_row {
  std::string key;
  /// Empty for an absent row.
  std::string value;
  /// Commit number of the last write; 0 for an absent row.
  std::int64_t version = 0;
};

/// A condition on which a transaction depends.
struct table_condition {
  std::string key;
  /// Version that the row must have; 0 when it must be absent.
  std::int64_t version = 0;
};

/// A row to write.
struct table_put {
  std::string key;
  std::string value;
};

/// An atomic transaction: applied as a whole when every condition holds, else not at all.
struct table_transaction {
  std::vector<table_condition> conditions;
  std::vector<table_put> puts;
  /// Keys of the rows to delete.
  std::vector<std::string> deletes;
};

/// Settings of the platform clients.
struct platform_settings {
  /// "ip:port" of the table service, the object store and the VM list.
  std::string endpoint = "127.0.0.1:7000";
  /// Deadline of one attempt.
  std::chrono::milliseconds attempt_timeout{1000};
  /// Deadline of a call with all its attempts.
  std::chrono::milliseconds call_timeout{3000};
  /// First delay between attempts; it doubles each time and is jittered.
  std::chrono::milliseconds retry_delay{50};
  /// Consecutive failures after which the circuit breaker opens and calls fail immediately.
  int breaker_failures = 5;
  /// Time that the breaker stays open before one attempt may test the platform again.
  std::chrono::milliseconds breaker_open{500};
};

/// The platform's transactional table. An interface, so that tests can use a fake.
class table_client {
 public:
  virtual ~table_client() = default;

  /// Runs `transaction`. Returns the commit number; kAborted when a condition did not hold; kUnavailable when
  /// it was certainly not applied; kUnknown when the reply was lost, so that it may have been applied.
  virtual boost::asio::awaitable<absl::StatusOr<std::int64_t>> Transact(table_transaction transaction) = 0;
  /// Reads one row; an absent row has version 0. kUnavailable when the store does not reply.
  virtual boost::asio::awaitable<absl::StatusOr<table_row>> Read(std::string key) = 0;
  /// Reads all rows whose key starts with `prefix`, in key order. kUnavailable when the store does not
  /// reply.
  virtual boost::asio::awaitable<absl::StatusOr<std::vector<table_row>>> Scan(std::string prefix) = 0;
};

/// Traffic of the platform client since its start, for checks of the retry budget.
struct platform_counters {
  /// Calls that callers made, without retries.
  std::int64_t calls = 0;
  /// Attempts sent to the platform, retries included.
  std::int64_t attempts = 0;
  /// Calls that failed immediately because the breaker was open.
  std::int64_t refused_by_breaker = 0;
};

/// Client of the table service, object store and VM list over HTTP/JSON (docs/design.md, section 4.1).
/// Reads are retried within a budget of 20% of the calls. A transaction is retried only when it was certainly
/// not applied. Thread-safe.
class platform_client final : public table_client {
 public:
  /// `http` must outlive the client.
  platform_client(transport::http_client& http, platform_settings settings);
  ~platform_client() override;

  boost::asio::awaitable<absl::StatusOr<std::int64_t>> Transact(table_transaction transaction) override;
  boost::asio::awaitable<absl::StatusOr<table_row>> Read(std::string key) override;
  boost::asio::awaitable<absl::StatusOr<std::vector<table_row>>> Scan(std::string prefix) override;

  /// Writes an object; safe to repeat with the same content. kUnavailable when the store does not confirm it.
  boost::asio::awaitable<absl::Status> PutObject(std::string name, std::string body);
  /// Reads an object. kNotFound when there is none.
  boost::asio::awaitable<absl::StatusOr<std::string>> GetObject(std::string name);
  /// Returns the names of the VMs that the platform lists as leaving. The list may be outdated.
  boost::asio::awaitable<absl::StatusOr<std::vector<std::string>>> LeavingVms();

  /// Counters since start.
  platform_counters counters() const;
  /// False while the breaker is open.
  bool available() const;

 private:
  // Sends a request with retries. `repeatable` tells whether it may be sent again after it may have had an
  // effect.
  boost::asio::awaitable<absl::StatusOr<transport::http_response>> Call(transport::http_request request,
                                                                        bool repeatable);
  boost::asio::awaitable<transport::http_exchange> Attempt(const transport::http_request& request,
                                                           std::chrono::milliseconds timeout);
  // Reserves an attempt. Returns false when the breaker is open or the retry budget is used up.
  bool TryBeginAttempt(bool retry);
  void RecordResult(bool succeeded);

  transport::http_client& http_;
  const platform_settings settings_;
  struct breaker_state;
  std::unique_ptr<breaker_state> breaker_;
};

/// Repeats `transaction` until its outcome is known. The value of `marker_key` contains `token` only when
/// this writer's transaction was applied, which decides the outcome after a lost reply. Returns kAborted when
/// another writer's transaction was applied instead, and kUnknown when the outcome could not be read before
/// `timeout`.
boost::asio::awaitable<absl::Status> TransactAndConfirm(table_client& table, table_transaction transaction,
                                                        std::string marker_key, std::string token,
                                                        std::chrono::milliseconds timeout);

}  // namespace hickorystall::protocol
