#include "programs/common/server_settings.h"

namespace hickorystall::programs::common {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinDuration{1};
constexpr milliseconds kMaxDuration = std::chrono::hours(1);

void ReadHttpSettings(state::object_reader& reader, transport::http_server_settings& http) {
  reader.Require("listen");
  reader.Read("listen", http.listen);
  std::int64_t max_body = static_cast<std::int64_t>(http.max_body_bytes);
  if (reader.Read("max_body_bytes", max_body, 1024, std::int64_t{1} << 30)) {
    http.max_body_bytes = static_cast<std::uint64_t>(max_body);
  }
  reader.Read("max_connections", http.max_connections, 1, 1 << 20);
  reader.Read("read_timeout_ms", http.read_timeout, kMinDuration, kMaxDuration);
  reader.Read("idle_timeout_ms", http.idle_timeout, kMinDuration, kMaxDuration);
  reader.Read("write_timeout_ms", http.write_timeout, kMinDuration, kMaxDuration);
}

void ReadPlatformSettings(state::object_reader& reader, protocol::platform_settings& platform) {
  reader.Require("endpoint");
  reader.Read("endpoint", platform.endpoint);
  reader.Read("attempt_timeout_ms", platform.attempt_timeout, kMinDuration, kMaxDuration);
  reader.Read("call_timeout_ms", platform.call_timeout, kMinDuration, kMaxDuration);
  reader.Read("retry_delay_ms", platform.retry_delay, kMinDuration, kMaxDuration);
  reader.Read("breaker_failures", platform.breaker_failures, 1, 1000);
  reader.Read("breaker_open_ms", platform.breaker_open, kMinDuration, kMaxDuration);
  reader.Finish();
}

}  // namespace

server_settings ReadServerSettings(state::object_reader& reader, const state::located_json& document,
                                   std::vector<state::document_error>& errors) {
  server_settings settings;
  for (const char* key :
       {"instance", "vm", "failure_domain", "region", "peer_listen", "operator_token_sha256"}) {
    reader.Require(key);
  }
  reader.Read("instance", settings.instance);
  reader.Read("vm", settings.vm);
  reader.Read("failure_domain", settings.failure_domain);
  reader.Read("region", settings.region);
  ReadHttpSettings(reader, settings.http);
  reader.Require("platform");
  if (const nlohmann::json* platform = reader.Member("platform"); platform != nullptr) {
    state::object_reader platform_reader(document, *platform, reader.PathOf("platform"), errors);
    ReadPlatformSettings(platform_reader, settings.platform);
  }
  reader.Read("config_poll_ms", settings.config.poll_interval, kMinDuration, kMaxDuration);
  reader.Read("contact_limit_ms", settings.config.contact_limit, kMinDuration, kMaxDuration);
  reader.Read("peer_listen", settings.peer_listen);
  reader.Read("peer_advertise", settings.peer_advertise);
  reader.Read("seeds", settings.seeds);
  reader.Read("worker_threads", settings.worker_threads, 1, 64);
  reader.Read("operator_token_sha256", settings.operator_token_sha256);
  reader.Read("drain_notice_ms", settings.drain_notice, milliseconds(0), kMaxDuration);
  reader.Read("drain_limit_ms", settings.drain_limit, milliseconds(0), kMaxDuration);
  return settings;
}

}  // namespace hickorystall::programs::common
