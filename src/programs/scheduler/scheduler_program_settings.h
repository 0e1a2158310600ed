#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "coordination/scheduler_loop.h"
#include "programs/common/server_settings.h"

namespace hickorystall::programs::scheduler {

/// Settings of the program hickorystall-scheduler.
struct scheduler_program_settings {
  /// Common to all server programs.
  common::server_settings server;
  /// Of the scheduler itself.
  coordination::scheduler_settings scheduler;
  /// Names of the instances among which lease renewal is divided; empty for the live schedulers of the peer
  /// mesh.
  std::vector<std::string> peers_for_leases;
};

/// Reads a settings document; every error is added with its line.
scheduler_program_settings ParseSchedulerSettings(std::string_view text,
                                                  std::vector<state::document_error>& errors);

}  // namespace hickorystall::programs::scheduler
