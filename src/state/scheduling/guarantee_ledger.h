#pragma once

#include <cstdint>
#include <vector>

#include "state/scheduling/job.h"
#include "state/scheduling/worker_topology.h"

namespace hickorystall::state {

/// Remaining capacity of one guaranteed member.
struct guaranteed_slot {
  /// Adjacent accelerators left.
  int accelerators = 0;
  /// Processor cores left: the share of a worker's cores that belongs to its accelerators.
  int processors = 0;
  /// Memory left in MiB, by the same rule.
  std::int64_t memory_mib = 0;
  /// True once a member of a job uses the slot.
  bool used = false;
};

/// An unused part of a guarantee, as a gang to be placed.
struct unused_shape {
  /// Index of the workspace in the configuration.
  int workspace = 0;
  job_spec spec;
  /// True for the remainder of a guaranteed member that smaller jobs use in part. It is kept free where
  /// possible but not guaranteed, since it is no shape of the guarantee.
  bool partial = false;
};

/// Tracks which parts of the guarantees are in use. A guarantee is a set of shapes. A job is within it when
/// every member has room in a slot of a shape whose members are at least as close together as the job
/// demands.
class guarantee_ledger {
 public:
  /// Starts with every guarantee of `config` unused.
  guarantee_ledger(const cluster_config& config, const worker_topology& topology);

  /// True when all members of `spec` fit in the unused guarantee of `workspace`.
  bool Covers(int workspace, const job_spec& spec) const;
  /// Uses the guarantee of `workspace` for as many members of `spec` as fit in it; returns their number.
  int Consume(int workspace, const job_spec& spec);
  /// Returns a ledger that contains only the guarantee of `workspace`, at index 0.
  guarantee_ledger ForWorkspace(int workspace) const;
  /// Returns the unused parts, whole members before partial ones, largest first. Each is marked urgent, so
  /// that it is not placed on a worker that runs trial tasks after failures.
  std::vector<unused_shape> UnusedShapes() const;

 private:
  /// Creates a ledger without workspaces.
  guarantee_ledger() = default;

  /// A guaranteed shape with the use of its members.
  struct shape_state {
    /// How close together the members are guaranteed to be.
    adjacency placement = adjacency::kNone;
    /// One entry per member.
    std::vector<guaranteed_slot> slots;
  };

  /// True when `shape` is unused, `spec` has the same members, accelerators and adjacency, and its members
  /// fit in the slots.
  static bool FillsExactly(const shape_state& shape, const job_spec& spec);
  /// Puts members of `spec` in slots of `shapes`; returns the number that fit.
  static int Fit(std::vector<shape_state>& shapes, const job_spec& spec);

  /// Shapes by workspace index, fewest accelerators first, so that small jobs use small slots.
  std::vector<std::vector<shape_state>> shapes_;
};

}  // namespace hickorystall::state
