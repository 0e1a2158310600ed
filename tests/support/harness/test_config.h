#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "transport/http_message.h"

namespace hickorystall::harness {

/// Targets that a test configuration lists.
struct config_targets {
  /// Ports of the executors on 127.0.0.1; executor-1 is the first. They are spread over three racks in turn.
  std::vector<int> executor_ports;
  /// Ports of the workers on 127.0.0.1; worker-1 is the first. Each rack holds two.
  std::vector<int> worker_ports;
  /// Accelerators of each worker.
  int accelerators = 8;
};

/// Returns a configuration document with three failure domains, the targets `executor-1`, `worker-1` and so
/// on, the workspaces `counter` and `matching`, the request kinds `quote_check` (idempotent, urgent) and
/// `order` (not idempotent, urgent), and the job kinds `matching_run` (normal) and `restock_forecast`
/// (patient). The token of a workspace is its name followed by "-token". A test may change the document
/// before applying it.
nlohmann::json MakeConfig(const config_targets& targets);

/// Returns a client's request on behalf of `workspace`, with the workspace's token. An empty
/// `idempotency_key` sends no such header.
transport::http_request CallerRequest(const std::string& workspace, std::string method, std::string target,
                                      std::string body = {}, const std::string& idempotency_key = {});

}  // namespace hickorystall::harness
