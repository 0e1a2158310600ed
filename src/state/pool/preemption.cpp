#include "state/pool/preemption.h"

#include <algorithm>
#include <limits>
#include <set>

namespace hickorystall::state::pool {
namespace {

// The users' prices count an accelerator as eight cores.
constexpr double kCoresPerAccelerator = 8.0;

// Victims by slot, cheapest first.
using victims_by_slot = std::map<int, std::vector<int>>;

void Free(capacity_slots& slots, const preemption_victim& victim) {
  for (const int slot : victim.slots) slots[slot].free += victim.step->need;
}

void Occupy(capacity_slots& slots, const preemption_victim& victim) {
  for (const int slot : victim.slots) slots[slot].free -= victim.step->need;
}

// Adds the cheapest victims on `slot` until one more member fits there, then spares those that turn out not
// to be needed, dearest first; false when none suffice.
bool MakeRoom(capacity_slots& slots, int slot, const unit_shape& shape,
              const std::vector<preemption_victim>& victims, const std::vector<int>& candidates,
              std::set<int>& taken, double& cost) {
  std::vector<int> added;
  for (const int candidate : candidates) {
    if (MembersThatFit(slots[slot], shape, 1) > 0) break;
    if (taken.contains(candidate)) continue;
    added.push_back(candidate);
    Free(slots, victims[candidate]);
  }
  if (MembersThatFit(slots[slot], shape, 1) == 0) return false;
  for (auto candidate = added.rbegin(); candidate != added.rend(); ++candidate) {
    Occupy(slots, victims[*candidate]);
    if (MembersThatFit(slots[slot], shape, 1) > 0) continue;
    Free(slots, victims[*candidate]);
    taken.insert(*candidate);
    cost += victims[*candidate].lost_work;
  }
  return true;
}

struct member_room {
  int slot = -1;
  double cost = 0;
  std::set<int> taken;
};

// The slot of `group` on which one member costs least.
member_room CheapestSlot(const capacity_slots& slots, const unit_shape& shape, const std::vector<int>& group,
                         const std::vector<preemption_victim>& victims, const victims_by_slot& by_slot,
                         const std::set<int>& taken) {
  member_room best;
  best.cost = std::numeric_limits<double>::max();
  for (const int slot : group) {
    if (!IsEligible(*slots[slot].worker, shape)) continue;
    if (MembersThatFit(slots[slot], shape, 1) > 0) return {slot, 0, taken};
    const auto found = by_slot.find(slot);
    if (found == by_slot.end()) continue;
    capacity_slots trial = slots;
    std::set<int> trial_taken = taken;
    double cost = 0;
    if (!MakeRoom(trial, slot, shape, victims, found->second, trial_taken, cost)) continue;
    if (cost < best.cost) best = {slot, cost, std::move(trial_taken)};
  }
  return best;
}

std::optional<preemption_choice> ChooseInGroup(capacity_slots slots, const unit_shape& shape,
                                               const std::vector<int>& group,
                                               const std::vector<preemption_victim>& victims,
                                               const victims_by_slot& by_slot) {
  preemption_choice choice;
  std::set<int> taken;
  unit_shape rest = shape;
  for (int i = 0; i < shape.members; ++i) {
    const member_room room = CheapestSlot(slots, rest, group, victims, by_slot, taken);
    if (room.slot < 0) return std::nullopt;
    for (const int victim : room.taken) {
      if (taken.insert(victim).second) Free(slots, victims[victim]);
    }
    choice.lost_work += room.cost;
    choice.places.push_back(room.slot);
    slots[room.slot].free -= shape.step->need;
    ++rest.already_on[slots[room.slot].worker->registration.id];
  }
  choice.victims.assign(taken.begin(), taken.end());
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
