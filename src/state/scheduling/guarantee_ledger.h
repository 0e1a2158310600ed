#pragma once

#include <cstdint>
#include <vector>

#include "state/scheduling/job.h"
#include "state/scheduling/worker_topology.h"

namespace hickorystall::state {

/// What is left of one guaranteed member.
struct guaranteed_slot {
  /// Adjacent accelerators left.
  int accelerators = 0;
  /// Processor cores left: the share of a worker's cores that belongs to its accelerators.
  int processors = 0;
  /// Memory left in MiB, by the same rule.
  std::int64_t memory_mib = 0;
  /// True once a member runs in it.
  bool used = false;
};

/// A part of a guarantee that nobody uses, as a gang to be placed.
struct unused_shape {
  /// Index of the workspace in the configuration.
  int workspace = 0;
  /// Sizes of the gang.
  job_spec spec;
  /// True for what smaller jobs leave of a guaranteed member. It is kept free where possible but not
  /// promised, since it is no shape of the guarantee.
  bool partial = false;
};

/// Which parts of the guarantees are in use. A guarantee is a set of shapes; a job lies within it when every
/// member finds room in a slot of a shape that is at least as close together as the job demands.
class guarantee_ledger {
 public:
  /// Starts with every guarantee of `config` unused.
  guarantee_ledger(const cluster_config& config, const worker_topology& topology);

  /// True when all members of `spec` lie within the unused guarantee of `workspace`.
  bool Covers(int workspace, const job_spec& spec) const;
  /// Uses the guarantee of `workspace` for as many members of `spec` as lie within it; returns their number.
  int Consume(int workspace, const job_spec& spec);
  /// Returns a ledger with the guarantee of `workspace` alone, at index 0.
  guarantee_ledger ForWorkspace(int workspace) const;
  /// The unused parts, whole members before partial ones, largest first. Each counts as urgent, which keeps
  /// it off workers on trial.
  std::vector<unused_shape> UnusedShapes() const;

 private:
  /// A ledger without workspaces.
  guarantee_ledger() = default;

  /// One guaranteed shape.
  struct shape_state {
    /// Closeness of the members.
    adjacency placement = adjacency::kNone;
    /// Members.
    std::vector<guaranteed_slot> slots;
  };

  /// True when `spec` uses all of the unused `shape`, accelerator for accelerator.
  static bool FillsExactly(const shape_state& shape, const job_spec& spec);
  /// Places members of `spec` in `shapes`; returns how many found room.
  static int Fit(std::vector<shape_state>& shapes, const job_spec& spec);

  /// Shapes by workspace, smallest accelerators first, so that small jobs use small slots.
  std::vector<std::vector<shape_state>> shapes_;
};

}  // namespace hickorystall::state
