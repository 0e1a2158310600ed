#pragma once

#include <chrono>
#include <string>

#include "transport/event_loop_pool.h"
#include "transport/http_client.h"

namespace hickorystall::programs::cli {

/// Endpoint and credentials of the requests.
struct connection_options {
  /// "ip:port" of a gateway or admin instance.
  std::string endpoint;
  /// Bearer token of the operator or the workspace.
  std::string token;
  /// Workspace that the token belongs to; empty for operators.
  std::string workspace;
  /// Name of the operator that the configuration history records; may be empty.
  std::string operator_name;
  /// Time limit for one request and its response.
  std::chrono::milliseconds timeout{30000};
};

/// Blocking HTTP client for one gateway or admin instance.
class api_client {
 public:
  explicit api_client(connection_options options);

  /// Adds the credentials to the request, sends it once and waits for the response.
  transport::http_exchange Send(transport::http_request request);
  /// Sends a request that is safe to repeat. Tries up to three times while no response arrives.
  transport::http_exchange SendRepeatable(const transport::http_request& request);

 private:
  const connection_options options_;
  transport::event_loop_pool event_loops_;
  transport::http_client http_;
};

}  // namespace hickorystall::programs::cli
