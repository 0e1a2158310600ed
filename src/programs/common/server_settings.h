#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "coordination/config_keeper.h"
#include "protocol/table_client.h"
#include "state/json/located_json.h"
#include "transport/http_server.h"

namespace hickorystall::programs::common {

/// Settings that every server program has.
struct server_settings {
  /// Unique name of the instance.
  std::string instance;
  /// Name of the VM that it runs on.
  std::string vm;
  /// Failure domain of the VM.
  std::string failure_domain;
  /// Region of the VM; also the name of the pool that its scheduler competes for.
  std::string region;
  /// HTTP server.
  transport::http_server_settings http;
  /// Platform clients.
  protocol::platform_settings platform;
  /// Configuration polling.
  coordination::config_keeper_settings config;
  /// "ip:port" of the socket for peer messages.
  std::string peer_listen;
  /// "ip:port" that peers are told to use; empty for `peer_listen`.
  std::string peer_advertise;
  /// "ip:port" of peers to contact before the instance directory has been read.
  std::vector<std::string> seeds;
  /// Event loops, one thread each.
  int worker_threads = 2;
  /// SHA-256 of the operator token.
  std::string operator_token_sha256;
  /// Time between reporting not ready and closing the listening socket at a stop; longer than the balancer's
  /// check interval.
  std::chrono::milliseconds drain_notice{1000};
  /// Time after which a stop no longer waits for requests in flight.
  std::chrono::milliseconds drain_limit{30000};
};

/// Reads the keys of `server_settings` from the top level of a settings document. The caller reads the keys
/// of its program from the same reader and then calls Finish.
server_settings ReadServerSettings(state::object_reader& reader, const state::located_json& document,
                                   std::vector<state::document_error>& errors);

}  // namespace hickorystall::programs::common
