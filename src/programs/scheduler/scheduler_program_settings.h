#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "coordination/scheduler_loop.h"
#include "programs/common/server_settings.h"

namespace hickorystall::programs::scheduler {

/// Settings of hickorystall-scheduler.
struct scheduler_program_settings {
  /// Settings common to all server programs.
  common::server_settings server;
  /// Settings under the key "scheduler", completed with those derived from `server`.
  coordination::scheduler_settings scheduler;
  /// Names of the instances that share lease renewal; empty to use the live schedulers of the peer mesh.
  std::vector<std::string> peers_for_leases;
};

/// Parses a settings document. `errors` receives every error with its line.
scheduler_program_settings ParseSchedulerSettings(std::string_view text,
                                                  std::vector<state::document_error>& errors);

}  // namespace hickorystall::programs::scheduler
