#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "transport/http_message.h"

namespace hickorystall::harness {

/// Targets of a test configuration.
struct config_targets {
  /// Ports of the executors on 127.0.0.1.
  std::vector<int> executor_ports;
  /// Ports of the workers on 127.0.0.1, two to a rack.
  std::vector<int> worker_ports;
  /// Accelerators of each worker.
  int accelerators = 8;
};

/// Returns a configuration document with three failure domains, the targets `executor-1`, `worker-1` and so
/// on, the workspaces `counter` and `matching`, the request kinds `quote_check` (idempotent, urgent) and
/// `order` (not idempotent), and the job kinds `matching_run` and `restock_forecast`. The token of a
/// workspace is its name followed by "-token". A test may change the document before it is applied.
nlohmann::json MakeConfig(const config_targets& targets);

/// Returns a caller's request of `workspace` with its token.
transport::http_request CallerRequest(const std::string& workspace, std::string method, std::string target,
                                      std::string body = {}, const std::string& idempotency_key = {});

}  // namespace hickorystall::harness
