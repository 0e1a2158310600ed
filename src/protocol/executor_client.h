#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "transport/http_client.h"

namespace hickorystall::protocol {

/// How an execution on an executor ended, as the sender can tell.
enum class execute_outcome {
  /// A whole answer with the request's own X-Request-Id.
  kAnswered,
  /// The executor refused as busy; not run.
  kBusy,
  /// The executor refused because it is leaving; not run.
  kLeaving,
  /// No connection could be made; not run.
  kNotSent,
  /// The executor answered whole and with the right X-Request-Id that it failed (status 5xx).
  kFailed,
  /// The answer carries another or no X-Request-Id, is incomplete or is not HTTP. May have run.
  kWrongAnswer,
  /// The connection broke after bytes were sent. May have run.
  kBroken,
  /// No whole answer before the timeout. May have run.
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
  /// Kind of work.
  std::string kind;
  /// Request body.
  std::string body;
  /// Time for the whole exchange.
  std::chrono::milliseconds timeout{0};
};

/// What came of it.
struct execution_result {
  /// How it ended.
  execute_outcome outcome = execute_outcome::kNotSent;
  /// HTTP status of the answer, for kAnswered and kFailed.
  int status = 0;
  /// Content type of the answer.
  std::string content_type;
  /// Whole body of the answer, for kAnswered.
  std::string body;
  /// The executor's own count of requests after this one, if it gave one.
  std::optional<int> reported_load;
  /// What went wrong, in a few words.
  std::string message;
};

/// What an executor knows of an execution.
struct execution_record {
  /// Where it is.
  enum class phase { kUnknown, kRunning, kFinished };
  phase state = phase::kUnknown;
  /// Status of its answer when finished.
  int status = 0;
  /// Body of its answer when finished.
  std::string body;
};

/// The executors' protocol (docs/design.md, section 4.3). It repeats nothing by itself. Thread-safe.
class executor_client {
 public:
  /// `http` must outlive the client.
  explicit executor_client(transport::http_client& http) : http_(http) {}

  /// Sends one execution and checks that the answer is whole and belongs to it.
  boost::asio::awaitable<execution_result> Execute(execution_request request);
  /// Asks for an execution. kUnavailable when the executor gives no valid answer.
  boost::asio::awaitable<absl::StatusOr<execution_record>> Query(std::string address, std::string id,
                                                                 std::chrono::milliseconds timeout);
  /// True when the executor says that it is serving.
  boost::asio::awaitable<bool> IsServing(std::string address, std::chrono::milliseconds timeout);

 private:
  transport::http_client& http_;
};

}  // namespace hickorystall::protocol
