#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorystall::state {

/// Placement constraint on the members of a gang: anywhere, in one rack or in one failure domain. The
/// accelerators of one member are always on one VM.
enum class adjacency { kNone, kRack, kFailureDomain };

/// Whether a target VM runs tasks of jobs or short requests.
enum class vm_kind { kWorker, kExecutor };

/// Priority class of work, highest first.
enum class priority { kUrgent, kNormal, kPatient };

/// Whether work is a short request on an executor or a long job on workers.
enum class work_class { kRequest, kJob };

/// A rack of the inventory.
struct rack_config {
  /// Unique among the racks.
  std::string name;
  /// Name of the failure domain that contains the rack.
  std::string failure_domain;
};

/// A target VM of the inventory.
struct vm_config {
  /// Unique among the VMs.
  std::string name;
  /// "ip:port" of the VM's service; unique among the VMs.
  std::string address;
  /// Name of the rack that contains the VM.
  std::string rack;
  vm_kind kind = vm_kind::kWorker;
  /// Number of processor cores.
  int processors = 0;
  std::int64_t memory_mib = 0;
  /// Number of accelerators. They are numbered from 0; accelerators with consecutive numbers are adjacent.
  int accelerators = 0;
  /// Requests that an executor runs concurrently.
  int slots = 8;
  /// Concurrent connections that an executor accepts.
  int connections = 64;
  /// True when an operator drains the VM. A drained VM gets no new work.
  bool drained = false;
};

/// A gang shape that a workspace is guaranteed to be able to run at any time.
struct guaranteed_shape {
  /// Number of members of the gang.
  int members = 1;
  /// Accelerators per member.
  int accelerators = 0;
  adjacency placement = adjacency::kNone;
};

/// A workspace of the inventory, with its guarantees and limits.
struct workspace_config {
  /// Unique among the workspaces.
  std::string name;
  /// SHA-256 of the workspace's token, 64 lower-case hexadecimal digits.
  std::string token_sha256;
  /// Gangs that the workspace can run all at the same time.
  std::vector<guaranteed_shape> guarantees;
  /// Maximum number of accelerators that the workspace may use, including borrowed ones; 0 means no limit.
  int max_accelerators = 0;
  /// Requests per second that the workspace may send to all gateways together; 0 means no limit.
  double request_rate = 0;
  /// Requests that may arrive at once in excess of the rate.
  double request_burst = 0;
};

/// Rules for one kind of work.
struct work_kind {
  /// Unique among the kinds.
  std::string name;
  work_class kind = work_class::kRequest;
  /// False when the work must be run at most once.
  bool idempotent = true;
  /// True when the work may be delayed or reclaimed in favour of other work.
  bool may_wait = true;
  priority level = priority::kNormal;
  /// Time limit from the arrival of a request to the last byte of its response.
  std::chrono::milliseconds timeout{10000};
  /// Maximum number of attempts for an idempotent request, including the first one.
  int max_attempts = 3;
  /// Time that a request may wait for a slot before it is refused.
  std::chrono::milliseconds max_queue{1000};
};

/// Limits for all workspaces.
struct limits_config {
  /// Maximum size of a request body, in bytes.
  std::int64_t max_body_bytes = 1 << 20;
  /// Maximum number of unfinished jobs of one workspace.
  int max_jobs_per_workspace = 20000;
};

/// The operators' inventory and rules, as parsed from one configuration document.
struct cluster_config {
  /// Unique names.
  std::vector<std::string> failure_domains;
  std::vector<rack_config> racks;
  std::vector<vm_config> vms;
  std::vector<workspace_config> workspaces;
  std::vector<work_kind> kinds;
  limits_config limits;

  /// Each Find function returns the entry called `name`, or null when there is none.
  const workspace_config* FindWorkspace(std::string_view name) const;
  const work_kind* FindKind(std::string_view name) const;
  const vm_config* FindVm(std::string_view name) const;
  const rack_config* FindRack(std::string_view name) const;
};

/// A configuration with its version. Instances are shared by pointer and immutable after creation.
struct versioned_config {
  /// Starts at 1; 0 means that there is no configuration yet.
  std::int64_t version = 0;
  /// The document as the operator sent it.
  std::string text;
  /// Parsed from `text`.
  cluster_config config;
};

}  // namespace hickorystall::state
