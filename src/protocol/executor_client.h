#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "transport/http_client.h"

namespace hickorystall::protocol {

/// How an execution on an executor ended, as far as the sender can tell.
enum class execute_outcome {
  /// A complete response with the request's X-Request-Id.
  kResponded,
  /// The executor refused as busy; not run.
  kBusy,
  /// The executor refused because it is shutting down; not run.
  kLeaving,
  /// No connection could be made; not run.
  kNotSent,
  /// A complete response with the request's X-Request-Id and a status of 5xx, except the refusals above.
  kFailed,
  /// The response has another or no X-Request-Id, is incomplete or is not HTTP. May have run.
  kInvalidResponse,
  /// The connection broke after bytes were sent. May have run.
  kBroken,
  /// No complete response before the timeout. May have run.
  kTimedOut,
};

/// True when the outcome proves that the request was not run.
bool ProvesNotRun(execute_outcome outcome);
/// Name of `outcome` for logs and metrics, such as "not_sent".
std::string_view ExecuteOutcomeName(execute_outcome outcome);

/// One execution to send.
struct execution_request {
  /// "ip:port" of the executor.
  std::string address;
  /// Unique id of this attempt.
  std::string id;
  /// Kind of work, sent as X-Kind.
  std::string kind;
  std::string body;
  /// Limit for the whole exchange, including the connection.
  std::chrono::milliseconds timeout{0};
};

/// Result of one execution.
struct execution_result {
  execute_outcome outcome = execute_outcome::kNotSent;
  /// HTTP status, also for the refusals kBusy and kLeaving; 0 without a valid response.
  int status = 0;
  /// Empty without a valid response.
  std::string content_type;
  /// Complete response body; empty without a valid response.
  std::string body;
  /// Number of requests that the executor reports to have in flight after this one, if it does.
  std::optional<int> reported_load;
  /// Description for logs and error messages.
  std::string message;
};

/// What an executor knows about an execution.
struct execution_record {
  /// kUnknown when the executor has no record of it.
  enum class phase { kUnknown, kRunning, kFinished };
  phase state = phase::kUnknown;
  /// HTTP status of the response; set when finished.
  int status = 0;
  /// Body of the response; set when finished.
  std::string body;
};

/// Client of the executors' protocol (docs/design.md, section 4.3). It never retries on its own. Thread-safe.
class executor_client {
 public:
  /// `http` must outlive the client.
  explicit executor_client(transport::http_client& http) : http_(http) {}

  /// Sends one execution and checks that the response is complete and belongs to it.
  boost::asio::awaitable<execution_result> Execute(execution_request request);
  /// Queries an execution by its id. kUnavailable when the executor does not respond with a valid record.
  boost::asio::awaitable<absl::StatusOr<execution_record>> Query(std::string address, std::string id,
                                                                 std::chrono::milliseconds timeout);
  /// True when the executor reports that it is serving requests.
  boost::asio::awaitable<bool> IsServing(std::string address, std::chrono::milliseconds timeout);

 private:
  transport::http_client& http_;
};

}  // namespace hickorystall::protocol
