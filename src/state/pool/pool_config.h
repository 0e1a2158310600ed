#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystall::state::pool {

/// Rules of one queue of jobs.
struct queue_rules {
  /// Name of the queue.
  std::string name;
  /// Host name under which clients reach it.
  std::string host;
  /// Path under which clients reach it, with the slash at its end.
  std::string prefix;
  /// Service whose workers run its jobs.
  std::string service;
  /// Rank: 0 goes first and may take capacity from the others.
  int priority = 0;
  /// Failed attempts after which a task, or a gang, fails its job.
  int max_attempts = 1;
  /// Objective of a job's completion as a multiple of its longest chain of work.
  double stretch = 1.0;
  /// Time that the objective adds to that.
  std::chrono::milliseconds target_latency{0};
  /// True when calls need no credential.
  bool is_public = false;
};

/// A workspace with its credentials and its guarantee.
struct workspace_rules {
  /// Name of the workspace.
  std::string name;
  /// Credentials that its clients may present.
  std::vector<std::string> credentials;
  /// Accelerators that belong to it at all times, for jobs of priority 0.
  std::int64_t guaranteed_accelerators = 0;
};

/// One version of the configuration, as far as the pool needs it.
struct pool_config {
  /// Version, which rises in uneven steps.
  std::int64_t version = 0;
  /// Queues.
  std::vector<queue_rules> queues;
  /// Workspaces.
  std::vector<workspace_rules> workspaces;

  /// Returns the queue with the longest prefix of `path` at `host`, or null.
  const queue_rules* FindQueue(std::string_view host, std::string_view path) const;
  /// Returns the queue called `name`, or null.
  const queue_rules* FindQueueByName(std::string_view name) const;
  /// Returns the workspace that holds `credential`, or null.
  const workspace_rules* FindWorkspaceByCredential(std::string_view credential) const;
  /// Returns the workspace called `name`, or null.
  const workspace_rules* FindWorkspace(std::string_view name) const;
};

}  // namespace hickorystall::state::pool
