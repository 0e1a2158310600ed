#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorystall::state {

/// How close together the members of a gang must be placed. The accelerators of one member are always on one
/// VM.
enum class adjacency { kNone, kRack, kFailureDomain };

/// What a target VM is used for.
enum class vm_kind { kWorker, kExecutor };

/// Class of work, highest priority first.
enum class priority { kUrgent, kNormal, kPatient };

/// Whether a kind of work is a short request on an executor or a long job on workers.
enum class work_class { kRequest, kJob };

/// A rack of the inventory.
struct rack_config {
  /// Unique name.
  std::string name;
  /// Failure domain that the rack stands in.
  std::string failure_domain;
};

/// A target VM of the inventory.
struct vm_config {
  /// Unique name.
  std::string name;
  /// "ip:port" of the VM's service.
  std::string address;
  /// Name of its rack.
  std::string rack;
  /// Whether it runs jobs or requests.
  vm_kind kind = vm_kind::kWorker;
  /// Processor cores.
  int processors = 0;
  /// Memory in MiB.
  std::int64_t memory_mib = 0;
  /// Number of accelerators, indexed from 0; neighbouring indices are adjacent.
  int accelerators = 0;
  /// Requests that an executor runs at the same time.
  int slots = 8;
  /// Connections that an executor accepts.
  int connections = 64;
  /// True when an operator drains the VM: it gets no new work.
  bool drained = false;
};

/// A gang shape that a workspace is guaranteed to be able to run at any time.
struct guaranteed_shape {
  /// Members of the gang.
  int members = 1;
  /// Accelerators per member.
  int accelerators = 0;
  /// Placement constraint of the gang.
  adjacency placement = adjacency::kNone;
};

/// A workspace of the inventory, with its guarantees and limits.
struct workspace_config {
  /// Unique name.
  std::string name;
  /// SHA-256 of the workspace's token, 64 lower-case hexadecimal digits.
  std::string token_sha256;
  /// Shapes guaranteed at the same time.
  std::vector<guaranteed_shape> guarantees;
  /// Accelerators that the workspace may use at most, borrowed ones included; 0 means no limit.
  int max_accelerators = 0;
  /// Requests a second that the workspace may send over all gateways; 0 means no limit.
  double request_rate = 0;
  /// Requests that may arrive at once above the rate.
  double request_burst = 0;
};

/// Rules for one kind of work.
struct work_kind {
  /// Unique name.
  std::string name;
  /// Request or job.
  work_class kind = work_class::kRequest;
  /// False when the work must run at most once.
  bool idempotent = true;
  /// True when the work may be delayed or reclaimed in favour of other work.
  bool may_wait = true;
  /// Class of the work.
  priority level = priority::kNormal;
  /// Time from arrival to the last byte of the answer.
  std::chrono::milliseconds timeout{10000};
  /// Attempts in all for an idempotent request.
  int max_attempts = 3;
  /// Time that a request may wait for a slot before it is refused.
  std::chrono::milliseconds max_queue{1000};
};

/// Limits for all workspaces.
struct limits_config {
  /// Largest request body in bytes.
  std::int64_t max_body_bytes = 1 << 20;
  /// Jobs of one workspace that are not finished.
  int max_jobs_per_workspace = 20000;
};

/// The operators' inventory and rules: one accepted configuration document.
struct cluster_config {
  /// Names of the failure domains.
  std::vector<std::string> failure_domains;
  /// Racks.
  std::vector<rack_config> racks;
  /// Target VMs.
  std::vector<vm_config> vms;
  /// Workspaces.
  std::vector<workspace_config> workspaces;
  /// Kinds of work.
  std::vector<work_kind> kinds;
  /// Common limits.
  limits_config limits;

  /// Returns the workspace called `name`, or null.
  const workspace_config* FindWorkspace(std::string_view name) const;
  /// Returns the kind of work called `name`, or null.
  const work_kind* FindKind(std::string_view name) const;
  /// Returns the VM called `name`, or null.
  const vm_config* FindVm(std::string_view name) const;
  /// Returns the rack called `name`, or null.
  const rack_config* FindRack(std::string_view name) const;
};

/// A configuration with its version; immutable once made, shared by pointer.
struct versioned_config {
  /// Version number, from 1; 0 means none yet.
  std::int64_t version = 0;
  /// The document as the operator sent it.
  std::string text;
  /// The parsed document.
  cluster_config config;
};

}  // namespace hickorystall::state
