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

constexpr milliseconds kShortest{1};
constexpr milliseconds kLongest = std::chrono::hours(1);
// Interval at which the number of live gateways is taken over.
constexpr milliseconds kGatewayCountInterval{1000};
// Time for which a stop waits for outcomes to reach the table.
constexpr milliseconds kFinishWrites{2000};

struct gateway_settings {
  server_settings server;
  // Gateways among which slots, connections and request rates are shared; 0 for the live ones of the peer
  // mesh.
  int gateway_count = 0;
  coordination::request_router_settings router;
  // Interval at which the platform's VM list is read.
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
  reader.Read("settle_limit_ms", settings.router.settle_limit, kShortest, kLongest);
  reader.Read("query_timeout_ms", settings.router.query_timeout, kShortest, kLongest);
  reader.Read("vm_list_interval_ms", settings.vm_list_interval, kShortest, kLongest);
  reader.Finish();
  return settings;
}

// Shares the targets among the gateways that the peer mesh reports as live.
boost::asio::awaitable<void> FollowGatewayCount(coordination::peer_mesh& mesh,
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
  coordination::claim_store claims(program.platform(), program.pool());
  hickorystall::state::request_metrics metrics;
  coordination::request_router router(executors, slots, claims, metrics, program.pool(), settings.router);
  coordination::job_submission jobs(program.platform(), program.pool(), settings.server.region,
                                    [&](const std::string& pool) { program.mesh().SendJobWakeup(pool); });
  coordination::vm_list_watcher watcher(program.platform(), executors, slots, settings.vm_list_interval);
  hickorystall::programs::gateway::gateway_api api(program.config(), router, jobs, metrics);

  program.config().AddListener([&](const auto& config) { slots.Configure(config->config); });
  program.SetHandler([&](auto request) { return api.Answer(std::move(request)); });
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
    program.AddTask([&, stopping] { return FollowGatewayCount(program.mesh(), slots, stopping); });
  }
  // Waits for jobs end at once, so that they do not hold up a stop.
  program.AddTask([&, stopping]() -> boost::asio::awaitable<void> {
    while (!stopping()) co_await hickorystall::transport::Sleep(milliseconds(100));
    jobs.StopWaiting();
  });
  program.AddStopAction([&] { router.Stop(); });
  program.AddStopAction([&] { claims.Finish(kFinishWrites); });
  const int status = program.Run();
  // Coroutines that are still suspended refer to the objects above, so no loop may run any more here.
  program.pool().Stop();
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  return hickorystall::programs::common::RunServerProgram<gateway_settings>(
      argc, argv, "hickorystall-gateway", "hickorystall gateway", ParseSettings, RunProgram);
}
