#include <algorithm>
#include <random>

#include "coordination/claim_store.h"
#include "coordination/job_submission.h"
#include "coordination/peer_mesh.h"
#include "coordination/request_router.h"
#include "coordination/vm_list_watcher.h"
#include "programs/common/server_program.h"
#include "programs/gateway/gateway_api.h"
#include "protocol/executor_client.h"

namespace {

namespace coordination = hickorystall::coordination;
using hickorystall::programs::common::server_program;
using hickorystall::programs::common::server_settings;
using std::chrono::milliseconds;

constexpr milliseconds kMinDuration{1};
constexpr milliseconds kMaxDuration = std::chrono::hours(1);
// Interval at which the number of live gateways is updated.
constexpr milliseconds kGatewayCountInterval{1000};
// Maximum time that a stop waits for outcomes to be written to the table.
constexpr milliseconds kFinishWritesTimeout{2000};

struct gateway_settings {
  server_settings server;
  // Number of gateways that share the slots, connections and request rates; 0 to use the number of live
  // gateways in the peer mesh.
  int gateway_count = 0;
  coordination::request_router_settings router;
  // Polling interval of the platform's VM list.
  milliseconds vm_list_interval{1000};
};

gateway_settings ParseSettings(std::string_view text,
                               std::vector<hickorystall::state::document_error>& errors) {
  const hickorystall::state::located_json document = hickorystall::state::ParseLocatedJson(text);
  errors = document.errors;
  if (document.value.is_discarded()) return {};
  hickorystall::state::object_reader reader(document, document.value, "", errors);
  gateway_settings settings;
  settings.server = hickorystall::programs::common::ReadServerSettings(reader, document, errors);
  reader.Read("gateway_count", settings.gateway_count, 0, 1000);
  reader.Read("settle_limit_ms", settings.router.settle_limit, kMinDuration, kMaxDuration);
  reader.Read("query_timeout_ms", settings.router.query_timeout, kMinDuration, kMaxDuration);
  reader.Read("vm_list_interval_ms", settings.vm_list_interval, kMinDuration, kMaxDuration);
  reader.Finish();
  return settings;
}

// Divides the capacity of the targets among the gateways that the peer mesh reports as live.
boost::asio::awaitable<void> TrackGatewayCount(coordination::peer_mesh& mesh,
                                               coordination::request_router_slots& slots,
                                               std::function<bool()> stop) {
  while (!stop()) {
    slots.SetGatewayCount(std::max(1, static_cast<int>(mesh.LivePeers("gateway").size())));
    co_await hickorystall::transport::Sleep(kGatewayCountInterval);
  }
}

int RunProgram(gateway_settings settings) {
  server_program program("gateway", settings.server);
  hickorystall::protocol::executor_client executors(program.http());
  coordination::request_router_slots slots(std::max(1, settings.gateway_count), std::random_device{}());
  coordination::claim_store claims(program.platform(), program.event_loops());
  hickorystall::state::request_metrics metrics;
  coordination::request_router router(executors, slots, claims, metrics, program.event_loops(),
                                      settings.router);
  coordination::job_submission jobs(program.platform(), program.event_loops(), settings.server.region,
                                    [&](const std::string& pool) { program.mesh().SendJobWakeup(pool); });
  coordination::vm_list_watcher watcher(program.platform(), executors, slots, settings.vm_list_interval);
  hickorystall::programs::gateway::gateway_api api(program.config(), router, jobs, metrics);

  program.config().AddListener([&](const auto& config) { slots.Configure(config->config); });
  program.SetHandler([&](auto request) { return api.Handle(std::move(request)); });
  program.SetMetrics([&] { return metrics.ToText(); });
  program.AddDump("routing", [&] { return slots.Dump(); });
  program.AddDump("claims_in_doubt", [&] { return router.Dump(); });
  program.AddDump("claims_to_write", [&] { return claims.Dump(); });
  program.AddDump("jobs_watched", [&] { return jobs.Dump(); });
  const auto stopping = [&] { return program.stopping(); };
  program.AddTask([&, stopping] { return slots.Run(stopping); });
  program.AddTask([&, stopping] { return watcher.WatchList(stopping); });
  program.AddTask([&, stopping] { return watcher.WatchReportedLeaving(stopping); });
  if (settings.gateway_count == 0) {
    program.AddTask([&, stopping] { return TrackGatewayCount(program.mesh(), slots, stopping); });
  }
  // Ends pending waits for jobs, so that they do not delay a stop.
  program.AddTask([&, stopping]() -> boost::asio::awaitable<void> {
    while (!stopping()) co_await hickorystall::transport::Sleep(milliseconds(100));
    jobs.StopWaiting();
  });
  program.AddStopAction([&] { router.Stop(); });
  program.AddStopAction([&] { claims.Finish(kFinishWritesTimeout); });
  const int status = program.Run();
  // Suspended coroutines refer to the objects above, so all event loops must stop before these are destroyed.
  program.event_loops().Stop();
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  return hickorystall::programs::common::RunServerProgram<gateway_settings>(
      argc, argv, "hickorystall-gateway", "hickorystall gateway", ParseSettings, RunProgram);
}
