#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hickorystall::state::pool {

/// Rules of one queue of jobs.
struct queue_rules {
  std::string name;
  /// Host name at which clients reach the queue.
  std::string host;
  /// Path prefix at which clients reach the queue, with a trailing slash.
  std::string prefix;
  /// Service whose workers run the jobs of the queue.
  std::string service;
  /// 0 is the highest priority; its jobs may preempt those of other priorities.
  int priority = 0;
  /// Number of failed attempts of one unit after which its job fails.
  int max_attempts = 1;
  /// Objective for the completion time of a job, as a multiple of the length of its critical path.
  double stretch = 1.0;
  /// Constant part of the objective, added to that multiple.
  std::chrono::milliseconds target_latency{0};
  /// True if requests need no credential.
  bool is_public = false;
};

/// A workspace with its credentials and guaranteed capacity.
struct workspace_rules {
  std::string name;
  /// Credentials that its clients may present; any one of them is accepted.
  std::vector<std::string> credentials;
  /// Number of accelerators guaranteed to the workspace at all times for jobs of priority 0.
  std::int64_t guaranteed_accelerators = 0;
};

/// The part of one configuration version that the pool uses.
struct pool_config {
  /// Increases with each change, but not always by 1.
  std::int64_t version = 0;
  std::vector<queue_rules> queues;
  std::vector<workspace_rules> workspaces;

  /// Returns the queue of `host` whose prefix is the longest that `path` starts with, or null if none
  /// matches.
  const queue_rules* FindQueue(std::string_view host, std::string_view path) const;
  /// Returns the queue with the given name, or null if there is none.
  const queue_rules* FindQueueByName(std::string_view name) const;
  /// Returns the workspace that accepts `credential`, or null if there is none.
  const workspace_rules* FindWorkspaceByCredential(std::string_view credential) const;
  /// Returns the workspace with the given name, or null if there is none.
  const workspace_rules* FindWorkspace(std::string_view name) const;
};

}  // namespace hickorystall::state::pool
