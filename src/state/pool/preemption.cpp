#include "state/pool/preemption.h"

#include <algorithm>
#include <limits>
#include <set>

namespace hickorystall::state::pool {
namespace {

// Number of cores whose lost time weighs as much as that of one accelerator.
constexpr double kCoresPerAccelerator = 8.0;
// Time that a resumed unit takes to load its checkpoint. The platforms state 100 and 600 ms.
constexpr std::chrono::duration<double> kResumeTime{0.6};

// Adds the capacity that `victim` holds to its slots.
void FreeVictim(capacity_slots& slots, const preemption_victim& victim) {
  for (const int slot : victim.slots) slots[slot].free += victim.step->need;
}

// Reverts `FreeVictim`.
void RestoreVictim(capacity_slots& slots, const preemption_victim& victim) {
  for (const int slot : victim.slots) slots[slot].free -= victim.step->need;
}

// A choice of victims in progress.
struct preemption_search {
  const unit_shape& shape;
  const preemption_candidates& candidates;
  const std::function<bool(int)>& is_allowed;
  // Free capacity with the victims chosen so far stopped.
  capacity_slots slots;
  std::set<int> chosen;
};

// Victims to stop for one more member on one slot, and the work that they lose.
struct slot_choice {
  int slot = -1;
  double cost = 0;
  std::vector<int> added;
};

// Finds the victims on `slot` that lose the least work so that one more member fits there, then spares those
// that turn out not to be needed, most expensive first. Returns nullopt if stopping all of them is not enough
// or would cost `max_cost` or more. Leaves `search` unchanged.
std::optional<slot_choice> FreeSlotForMember(preemption_search& search, int slot, double max_cost) {
  const auto found = search.candidates.by_slot.find(slot);
  if (found == search.candidates.by_slot.end()) return std::nullopt;
  const std::vector<preemption_victim>& victims = search.candidates.victims;
  slot_choice choice;
  choice.slot = slot;
  std::vector<int> stopped;
  for (const int victim : found->second) {
    if (MembersThatFit(search.slots[slot], search.shape, 1) > 0) break;
    if (search.chosen.contains(victim) || !search.is_allowed(victim)) continue;
    stopped.push_back(victim);
    FreeVictim(search.slots, victims[victim]);
  }
  const bool fits = MembersThatFit(search.slots[slot], search.shape, 1) > 0;
  for (auto victim = stopped.rbegin(); victim != stopped.rend(); ++victim) {
    RestoreVictim(search.slots, victims[*victim]);
    if (!fits || MembersThatFit(search.slots[slot], search.shape, 1) > 0) continue;
    FreeVictim(search.slots, victims[*victim]);
    choice.added.push_back(*victim);
    choice.cost += victims[*victim].lost_work;
  }
  for (const int victim : choice.added) RestoreVictim(search.slots, victims[victim]);
  if (!fits || choice.cost >= max_cost) return std::nullopt;
  return choice;
}

// Returns the slot of `group` on which placing one member loses the least work.
slot_choice CheapestSlot(preemption_search& search, const std::vector<int>& group) {
  slot_choice best;
  best.cost = std::numeric_limits<double>::max();
  for (const int slot : group) {
    if (!IsEligible(*search.slots[slot].worker, search.shape)) continue;
    if (MembersThatFit(search.slots[slot], search.shape, 1) > 0) return {slot, 0, {}};
    std::optional<slot_choice> choice = FreeSlotForMember(search, slot, best.cost);
    if (choice) best = *std::move(choice);
  }
  return best;
}

std::optional<preemption_choice> ChooseInGroup(const capacity_slots& slots, const unit_shape& shape,
                                               const std::vector<int>& group,
                                               const preemption_candidates& candidates,
                                               const std::function<bool(int)>& is_allowed) {
  preemption_choice choice;
  unit_shape current_shape = shape;
  preemption_search search{current_shape, candidates, is_allowed, slots, {}};
  for (int i = 0; i < shape.members; ++i) {
    const slot_choice cheapest = CheapestSlot(search, group);
    if (cheapest.slot < 0) return std::nullopt;
    for (const int victim : cheapest.added) {
      if (search.chosen.insert(victim).second) FreeVictim(search.slots, candidates.victims[victim]);
    }
    choice.lost_work += cheapest.cost;
    choice.places.push_back(cheapest.slot);
    search.slots[cheapest.slot].free -= shape.step->need;
    ++current_shape.already_on[slots[cheapest.slot].worker->registration.id];
  }
  choice.victims.assign(search.chosen.begin(), search.chosen.end());
  return choice;
}

}  // namespace

double WeightedCores(const resources& need) {
  return static_cast<double>(need.cpu_millis) / 1000.0 +
         kCoresPerAccelerator * static_cast<double>(need.accelerators);
}

double LostWork(const step_request& step, const work_unit& unit, boot_time now) {
  // A unit that can resume saves its progress when it is stopped; it loses the time that resuming takes.
  const std::chrono::duration<double> lost = now - unit.started_at;
  const double seconds = step.checkpointable ? std::min(lost, kResumeTime).count() : lost.count();
  return std::max(0.0, seconds) * WeightedCores(step.need) * static_cast<double>(unit.members.size()) *
         (1.0 + unit.preemptions);
}

void preemption_candidates::IndexBySlot() {
  by_slot.clear();
  for (std::size_t i = 0; i < victims.size(); ++i) {
    for (const int slot : victims[i].slots) {
      std::vector<int>& list = by_slot[slot];
      if (list.empty() || list.back() != static_cast<int>(i)) list.push_back(static_cast<int>(i));
    }
  }
  for (auto& [slot, list] : by_slot) {
    std::stable_sort(list.begin(), list.end(), [this](int left, int right) {
      return victims[left].lost_work < victims[right].lost_work;
    });
  }
}

std::optional<preemption_choice> ChoosePreemption(const capacity_slots& slots, const rack_index& index,
                                                  const unit_shape& shape,
                                                  const preemption_candidates& candidates,
                                                  const std::function<bool(int)>& is_allowed,
                                                  placement_reach reach) {
  std::optional<preemption_choice> best;
  for (const std::vector<int>* group : PlacementGroups(index, shape, reach)) {
    std::optional<preemption_choice> choice = ChooseInGroup(slots, shape, *group, candidates, is_allowed);
    if (!choice) continue;
    if (!best || choice->lost_work < best->lost_work) best = std::move(choice);
  }
  return best;
}

}  // namespace hickorystall::state::pool
