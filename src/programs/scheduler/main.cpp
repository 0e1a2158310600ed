#include "coordination/scheduler_loop.h"
#include "programs/common/server_program.h"
#include "programs/scheduler/scheduler_program_settings.h"
#include "protocol/worker_client.h"

namespace {

namespace scheduler = hickorystall::programs::scheduler;
using hickorystall::coordination::renewal_peers;
using hickorystall::coordination::scheduler_loop;
using hickorystall::programs::common::server_program;

// Returns the schedulers that share lease renewal. `fixed_names`, when not empty, replaces the names of the
// live schedulers.
renewal_peers CollectRenewalPeers(server_program& program, const std::vector<std::string>& fixed_names) {
  renewal_peers peers;
  for (const auto& peer : program.mesh().LivePeers("scheduler")) {
    peers.live.push_back(peer.instance);
    const bool is_self = peer.instance == program.settings().instance;
    peers.others_reach_store = peers.others_reach_store || (!is_self && peer.store_reachable);
  }
  if (!fixed_names.empty()) peers.live = fixed_names;
  return peers;
}

int RunProgram(scheduler::scheduler_program_settings settings) {
  server_program program("scheduler", settings.server);
  hickorystall::protocol::http_worker_client workers(program.http());
  scheduler_loop loop(
      program.platform(), workers, settings.scheduler,
      {hickorystall::state::Decide, hickorystall::state::ExplainImpossible},
      [&program] { return program.config().current(); },
      [&program] { return program.platform().LeavingVms(); },
      [&] { return CollectRenewalPeers(program, settings.peers_for_leases); });
  program.mesh().AddJobWakeupListener([&](const std::string& pool) {
    if (pool == settings.server.region) loop.WakeUpInbox();
  });
  program.AddReadiness([&loop] { return loop.ready(); });
  program.AddDump("scheduler", [&loop] { return loop.RequestDump(); });
  program.AddTask([&] { return loop.Run([&program] { return program.stopping(); }); });
  return program.Run();
}

}  // namespace

int main(int argc, char** argv) {
  return hickorystall::programs::common::RunServerProgram<scheduler::scheduler_program_settings>(
      argc, argv, "hickorystall-scheduler", "hickorystall scheduler", scheduler::ParseSchedulerSettings,
      RunProgram);
}
