#include "coordination/scheduler_loop.h"
#include "programs/common/server_program.h"
#include "programs/scheduler/scheduler_program_settings.h"
#include "protocol/worker_client.h"

namespace {

namespace scheduler = hickorystall::programs::scheduler;
using hickorystall::coordination::scheduler_loop;
using hickorystall::programs::common::server_program;

std::vector<std::string> LiveSchedulers(server_program& program) {
  std::vector<std::string> names;
  for (const auto& peer : program.mesh().LivePeers("scheduler")) names.push_back(peer.instance);
  return names;
}

int RunProgram(scheduler::scheduler_program_settings settings) {
  server_program program("scheduler", settings.server);
  hickorystall::protocol::http_worker_client workers(program.http());
  scheduler_loop loop(
      program.platform(), workers, settings.scheduler,
      {hickorystall::state::Decide, hickorystall::state::ExplainImpossible},
      [&program] { return program.config().current(); },
      [&program] { return program.platform().LeavingVms(); },
      [&] {
        return settings.peers_for_leases.empty() ? LiveSchedulers(program) : settings.peers_for_leases;
      });
  program.mesh().AddJobHintListener([&](const std::string& pool) {
    if (pool == settings.server.region) loop.Hint();
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
