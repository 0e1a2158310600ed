#include "state/scheduling/guarantee_ledger.h"

#include <algorithm>
#include <limits>
#include <map>

namespace hickorystall::state {
namespace {

/// Returns the slot of a member with `accelerators`. Its cores and memory are proportional to its
/// accelerators, by the worker on which that gives least.
guaranteed_slot MakeSlot(const worker_topology& topology, int accelerators) {
  guaranteed_slot slot{accelerators, std::numeric_limits<int>::max(),
                       std::numeric_limits<std::int64_t>::max(), false};
  const std::int64_t parts = std::max(accelerators, 1);
  for (const worker_entry& entry : topology.workers()) {
    if (entry.vm->accelerators < accelerators) continue;
    const std::int64_t whole = std::max(entry.vm->accelerators, 1);
    slot.processors = std::min(slot.processors, static_cast<int>(entry.vm->processors * parts / whole));
    slot.memory_mib = std::min(slot.memory_mib, entry.vm->memory_mib * parts / whole);
  }
  if (accelerators > 0) return slot;
  // A guaranteed member without accelerators is one core with 1 GiB, the defaults of a job.
  return {0, 1, 1024, false};
}

/// True when a member of `spec` fits in `slot`. A member without accelerators fits only in a slot that has
/// none left.
bool HasRoom(const guaranteed_slot& slot, const job_spec& spec) {
  return slot.accelerators >= spec.accelerators && slot.processors >= spec.processors &&
         slot.memory_mib >= spec.memory_mib && (spec.accelerators > 0 || slot.accelerators == 0);
}

/// Puts up to `count` members in `slots`, each in the slot with the fewest accelerators left that has room.
/// Returns the number of members that fit.
int FillSlots(std::vector<guaranteed_slot>& slots, const job_spec& spec, int count) {
  for (int placed = 0; placed < count; ++placed) {
    guaranteed_slot* best = nullptr;
    for (guaranteed_slot& slot : slots) {
      if (HasRoom(slot, spec) && (best == nullptr || slot.accelerators < best->accelerators)) best = &slot;
    }
    if (best == nullptr) return placed;
    best->accelerators -= spec.accelerators;
    best->processors -= spec.processors;
    best->memory_mib -= spec.memory_mib;
    best->used = true;
  }
  return count;
}

/// Returns the rank of a constraint; a higher rank keeps the members closer together.
int Closeness(adjacency value) {
  if (value == adjacency::kRack) return 2;
  return value == adjacency::kFailureDomain ? 1 : 0;
}

/// Returns a gang of `count` members with the remaining capacity of `slot`.
unused_shape MakeUnusedShape(int workspace, const guaranteed_slot& slot, int count, adjacency placement) {
  unused_shape result{workspace, {}, slot.used};
  result.spec.members = count;
  result.spec.accelerators = slot.accelerators;
  result.spec.processors = slot.processors;
  result.spec.memory_mib = slot.memory_mib;
  result.spec.placement = placement;
  result.spec.urgent = true;
  return result;
}

}  // namespace

guarantee_ledger::guarantee_ledger(const cluster_config& config, const worker_topology& topology) {
  std::map<int, guaranteed_slot> slots;
  for (const workspace_config& workspace : config.workspaces) {
    std::vector<guaranteed_shape> ordered = workspace.guarantees;
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& a, const auto& b) {
      return std::pair(a.accelerators, Closeness(a.placement)) <
             std::pair(b.accelerators, Closeness(b.placement));
    });
    std::vector<shape_state>& shapes = shapes_.emplace_back();
    for (const guaranteed_shape& shape : ordered) {
      const auto [slot, added] = slots.try_emplace(shape.accelerators);
      if (added) slot->second = MakeSlot(topology, shape.accelerators);
      shapes.push_back({shape.placement, std::vector(shape.members, slot->second)});
    }
  }
}

bool guarantee_ledger::FillsExactly(const shape_state& shape, const job_spec& spec) {
  return static_cast<int>(shape.slots.size()) == spec.members && shape.placement == spec.placement &&
         std::all_of(shape.slots.begin(), shape.slots.end(), [&](const guaranteed_slot& slot) {
           return !slot.used && slot.accelerators == spec.accelerators && HasRoom(slot, spec);
         });
}

int guarantee_ledger::Fit(std::vector<shape_state>& shapes, const job_spec& spec) {
  // A job that matches an unused shape exactly uses that shape, so that it does not break up another one.
  for (shape_state& shape : shapes) {
    if (FillsExactly(shape, spec)) return FillSlots(shape.slots, spec, spec.members);
  }
  if (spec.members == 1 || spec.placement == adjacency::kNone) {
    int placed = 0;
    for (shape_state& shape : shapes) placed += FillSlots(shape.slots, spec, spec.members - placed);
    return placed;
  }
  // Members that must stay together use one shape: the first with room for all, else the one with room for
  // most.
  int placed = 0;
  shape_state* chosen = nullptr;
  for (shape_state& shape : shapes) {
    if (Closeness(shape.placement) < Closeness(spec.placement)) continue;
    std::vector<guaranteed_slot> trial = shape.slots;
    const int fit = FillSlots(trial, spec, spec.members);
    if (fit <= placed) continue;
    placed = fit;
    chosen = &shape;
    if (fit == spec.members) break;
  }
  if (chosen != nullptr) FillSlots(chosen->slots, spec, spec.members);
  return placed;
}

bool guarantee_ledger::Covers(int workspace, const job_spec& spec) const {
  if (workspace < 0 || shapes_[workspace].empty()) return false;
  std::vector<shape_state> trial = shapes_[workspace];
  return Fit(trial, spec) == spec.members;
}

int guarantee_ledger::Consume(int workspace, const job_spec& spec) {
  return workspace < 0 ? 0 : Fit(shapes_[workspace], spec);
}

guarantee_ledger guarantee_ledger::ForWorkspace(int workspace) const {
  guarantee_ledger result;
  result.shapes_.push_back(shapes_[workspace]);
  return result;
}

std::vector<unused_shape> guarantee_ledger::UnusedShapes() const {
  std::vector<unused_shape> result;
  for (int workspace = 0; workspace < static_cast<int>(shapes_.size()); ++workspace) {
    for (const shape_state& shape : shapes_[workspace]) {
      int unused = 0;
      for (const guaranteed_slot& slot : shape.slots) {
        if (!slot.used) ++unused;
        if (slot.used && slot.accelerators > 0)
          result.push_back(MakeUnusedShape(workspace, slot, 1, adjacency::kNone));
      }
      if (unused == 0) continue;
      const auto slot =
          std::find_if(shape.slots.begin(), shape.slots.end(), [](const auto& s) { return !s.used; });
      result.push_back(MakeUnusedShape(workspace, *slot, unused, shape.placement));
    }
  }
  std::stable_sort(result.begin(), result.end(), [](const unused_shape& a, const unused_shape& b) {
    if (a.partial != b.partial) return b.partial;
    if (a.spec.accelerators != b.spec.accelerators) return a.spec.accelerators > b.spec.accelerators;
    return a.spec.members > b.spec.members;
  });
  return result;
}

}  // namespace hickorystall::state
