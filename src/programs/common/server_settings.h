#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "coordination/config_keeper.h"
#include "protocol/table_client.h"
#include "state/json/located_json.h"
#include "transport/http_server.h"

namespace hickorystall::programs::common {

/// Settings common to all server programs.
struct server_settings {
  /// Unique among all instances.
  std::string instance;
  /// VM that the instance runs on.
  std::string vm;
  /// Failure domain that contains the VM.
  std::string failure_domain;
  /// Region of the VM; also the name of the pool whose ownership its scheduler competes for.
  std::string region;
  transport::http_server_settings http;
  /// Endpoint, timeouts, retries and circuit breaker of the platform client.
  protocol::platform_settings platform;
  coordination::config_keeper_settings config;
  /// "ip:port" of the socket for peer messages.
  std::string peer_listen;
  /// "ip:port" that is advertised to peers; empty to advertise `peer_listen`.
  std::string peer_advertise;
  /// "ip:port" of peers to contact before the instance directory has been read.
  std::vector<std::string> seeds;
  /// Number of event loops, each with its own thread.
  int worker_threads = 2;
  /// SHA-256 of the operator token as hexadecimal digits.
  std::string operator_token_sha256;
  /// Time between reporting not ready and closing the listening socket during a stop. Must be longer than the
  /// health check interval of the load balancer.
  std::chrono::milliseconds drain_notice{1000};
  /// Maximum time that a stop waits for requests in flight and background tasks, after the drain notice.
  std::chrono::milliseconds drain_limit{30000};
};

/// Reads the keys of `server_settings` from the top level of a settings document. The caller reads the
/// program-specific keys from the same reader and then calls Finish.
server_settings ReadServerSettings(state::object_reader& reader, const state::located_json& document,
                                   std::vector<state::document_error>& errors);

}  // namespace hickorystall::programs::common
