#pragma once

#include <chrono>
#include <string>

#include "transport/event_loop_pool.h"
#include "transport/http_client.h"

namespace hickorystall::programs::cli {

/// Where and as whom the commands are sent.
struct connection_options {
  /// "ip:port" of a gateway or admin instance.
  std::string endpoint;
  /// Bearer token of the operator or workspace.
  std::string token;
  /// Workspace of a caller; empty for operators.
  std::string workspace;
  /// Name of the operator for the history.
  std::string operator_name;
  /// Time for one exchange.
  std::chrono::milliseconds timeout{30000};
};

/// Sends requests to one instance and waits for the answers.
class api_client {
 public:
  explicit api_client(connection_options options);

  /// Sends one request. Credentials are added.
  transport::http_exchange Send(transport::http_request request);
  /// Sends a request that is safe to repeat, up to three times while the answer is lost.
  transport::http_exchange SendRepeatable(const transport::http_request& request);

 private:
  const connection_options options_;
  transport::event_loop_pool pool_;
  transport::http_client http_;
};

}  // namespace hickorystall::programs::cli
