#include "state/pool/preemption.h"

#include <algorithm>
#include <limits>
#include <set>

namespace hickorystall::state::pool {
namespace {

// Number of cores whose lost time weighs as much as that of one accelerator.
constexpr double kCoresPerAccelerator = 8.0;

// Indices of the victims on each slot, by increasing lost work.
using victims_by_slot = std::map<int, std::vector<int>>;

// Adds the capacity that `victim` holds to its slots.
void FreeVictim(capacity_slots& slots, const preemption_victim& victim) {
  for (const int slot : victim.slots) slots[slot].free += victim.step->need;
}

// Reverts `FreeVictim`.
void RestoreVictim(capacity_slots& slots, const preemption_victim& victim) {
  for (const int slot : victim.slots) slots[slot].free -= victim.step->need;
}

// Stops the victims on `slot` that lose the least work until one more member fits there, then spares those
// that turn out not to be needed, most expensive first. Adds the victims to `chosen` and their lost work to
// `cost`. Returns false if stopping all of them is not enough.
bool FreeSlotForMember(capacity_slots& slots, int slot, const unit_shape& shape,
                       const std::vector<preemption_victim>& victims, const std::vector<int>& candidates,
                       std::set<int>& chosen, double& cost) {
  std::vector<int> added;
  for (const int candidate : candidates) {
    if (MembersThatFit(slots[slot], shape, 1) > 0) break;
    if (chosen.contains(candidate)) continue;
    added.push_back(candidate);
    FreeVictim(slots, victims[candidate]);
  }
  if (MembersThatFit(slots[slot], shape, 1) == 0) return false;
  for (auto candidate = added.rbegin(); candidate != added.rend(); ++candidate) {
    RestoreVictim(slots, victims[*candidate]);
    if (MembersThatFit(slots[slot], shape, 1) > 0) continue;
    FreeVictim(slots, victims[*candidate]);
    chosen.insert(*candidate);
    cost += victims[*candidate].lost_work;
  }
  return true;
}

// Slot for one member, with the work lost and the victims chosen so far. The slot is -1 if there is none.
struct slot_choice {
  int slot = -1;
  double cost = 0;
  std::set<int> chosen;
};

// Returns the slot of `group` on which placing one member loses the least work.
slot_choice CheapestSlot(const capacity_slots& slots, const unit_shape& shape, const std::vector<int>& group,
                         const std::vector<preemption_victim>& victims, const victims_by_slot& by_slot,
                         const std::set<int>& chosen) {
  slot_choice best;
  best.cost = std::numeric_limits<double>::max();
  for (const int slot : group) {
    if (!IsEligible(*slots[slot].worker, shape)) continue;
    if (MembersThatFit(slots[slot], shape, 1) > 0) return {slot, 0, chosen};
    const auto found = by_slot.find(slot);
    if (found == by_slot.end()) continue;
    capacity_slots trial = slots;
    std::set<int> trial_chosen = chosen;
    double cost = 0;
    if (!FreeSlotForMember(trial, slot, shape, victims, found->second, trial_chosen, cost)) continue;
    if (cost < best.cost) best = {slot, cost, std::move(trial_chosen)};
  }
  return best;
}

std::optional<preemption_choice> ChooseInGroup(capacity_slots slots, const unit_shape& shape,
                                               const std::vector<int>& group,
                                               const std::vector<preemption_victim>& victims,
                                               const victims_by_slot& by_slot) {
  preemption_choice choice;
  std::set<int> chosen;
  unit_shape current_shape = shape;
  for (int i = 0; i < shape.members; ++i) {
    const slot_choice cheapest = CheapestSlot(slots, current_shape, group, victims, by_slot, chosen);
    if (cheapest.slot < 0) return std::nullopt;
    for (const int victim : cheapest.chosen) {
      if (chosen.insert(victim).second) FreeVictim(slots, victims[victim]);
    }
    choice.lost_work += cheapest.cost;
    choice.places.push_back(cheapest.slot);
    slots[cheapest.slot].free -= shape.step->need;
    ++current_shape.already_on[slots[cheapest.slot].worker->registration.id];
  }
  choice.victims.assign(chosen.begin(), chosen.end());
  return choice;
}

}  // namespace

double LostWork(const step_request& step, const work_unit& unit, boot_time now) {
  const boot_time saved_at = step.checkpointable ? unit.checkpoint_at : unit.started_at;
  const double seconds = std::chrono::duration<double>(now - saved_at).count();
  const double cores = static_cast<double>(step.need.cpu_millis) / 1000.0 +
                       kCoresPerAccelerator * static_cast<double>(step.need.accelerators);
  return std::max(0.0, seconds) * cores * static_cast<double>(unit.members.size());
}

std::optional<preemption_choice> ChoosePreemption(const capacity_slots& slots, const unit_shape& shape,
                                                  const std::vector<preemption_victim>& victims,
                                                  placement_reach reach) {
  victims_by_slot by_slot;
  for (std::size_t i = 0; i < victims.size(); ++i) {
    const std::set<int> distinct(victims[i].slots.begin(), victims[i].slots.end());
    for (const int slot : distinct) by_slot[slot].push_back(static_cast<int>(i));
  }
  for (auto& [slot, list] : by_slot) {
    std::stable_sort(list.begin(), list.end(), [&victims](int left, int right) {
      return victims[left].lost_work < victims[right].lost_work;
    });
  }
  std::optional<preemption_choice> best;
  for (const std::vector<int>& group : PlacementGroups(slots, shape, reach)) {
    std::optional<preemption_choice> choice = ChooseInGroup(slots, shape, group, victims, by_slot);
    if (!choice) continue;
    if (!best || choice->lost_work < best->lost_work) best = std::move(choice);
  }
  return best;
}

}  // namespace hickorystall::state::pool
