#include "state/pool/unit_placement.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

namespace hickorystall::state::pool {
namespace {

// Returns the number of members that fit by one resource kind, at most `limit`. A need of 0 sets no limit.
int CountFitting(std::int64_t free, std::int64_t need, int limit) {
  if (need <= 0) return limit;
  return static_cast<int>(std::clamp<std::int64_t>(free / need, 0, limit));
}

std::int64_t FreeAccelerators(const capacity_slots& slots, const std::vector<int>& group) {
  std::int64_t sum = 0;
  for (const int index : group) sum += std::max<std::int64_t>(0, slots[index].free.accelerators);
  return sum;
}

// Returns the first tier that alone holds `members`, given the members that fit on each tier. Returns nullopt
// if there is none, or if members on several tiers that are fast enough avoid the use of a tier that is not.
std::optional<int> SingleTier(const std::array<int, kSpeedTiers>& by_tier, int members) {
  int fast_enough = 0;
  for (int tier = 0; tier < kSpeedTiers; ++tier) {
    if (tier == kFirstSlowTier && fast_enough >= members) return std::nullopt;
    if (by_tier[tier] >= members) return tier;
    fast_enough += by_tier[tier];
  }
  return std::nullopt;
}

bool IsAvoided(const worker_slot& slot, const unit_shape& shape) {
  return !shape.avoided.empty() && shape.avoided.contains(slot.worker->registration.id);
}

// Order in which workers are filled; the lowest comes first.
auto FillOrder(const capacity_slots& slots, const rack_index& racks, const unit_shape& shape, int index) {
  const worker_slot& slot = slots[index];
  return std::tuple(IsAvoided(slot, shape), SpeedTier(shape.speed, slot.worker->speed),
                    slot.worker->failures_in_row, racks.rack_free[index], slot.free.accelerators,
                    slot.free.cpu_millis, index);
}

// As PlaceInGroup, for a unit with one member, which needs neither a list of the fitting slots nor a sort.
std::optional<std::vector<int>> PlaceSingle(const capacity_slots& slots, const rack_index& racks,
                                            const unit_shape& shape, const std::vector<int>& group) {
  int best = -1;
  for (const int index : group) {
    if (MembersThatFit(slots[index], shape, 1) == 0) continue;
    if (best < 0 || FillOrder(slots, racks, shape, index) < FillOrder(slots, racks, shape, best))
      best = index;
  }
  if (best < 0) return std::nullopt;
  return std::vector<int>{best};
}

std::optional<std::vector<int>> PlaceInGroup(const capacity_slots& slots, const rack_index& racks,
                                             const unit_shape& shape, const std::vector<int>& group) {
  if (shape.members == 1) return PlaceSingle(slots, racks, shape, group);
  std::vector<int> order;
  int member_capacity = 0;
  // Members that fit on the workers of each tier that are not avoided.
  std::array<int, kSpeedTiers> by_tier{};
  for (const int index : group) {
    const int fits = MembersThatFit(slots[index], shape, shape.members);
    if (fits == 0) continue;
    order.push_back(index);
    member_capacity += fits;
    if (shape.speed.by_speed && !IsAvoided(slots[index], shape))
      by_tier[SpeedTier(shape.speed, slots[index].worker->speed)] += fits;
  }
  if (member_capacity < shape.members) return std::nullopt;
  if (const std::optional<int> tier = SingleTier(by_tier, shape.members)) {
    std::erase_if(order, [&](int index) {
      return IsAvoided(slots[index], shape) || SpeedTier(shape.speed, slots[index].worker->speed) != *tier;
    });
  }
  std::sort(order.begin(), order.end(), [&](int left, int right) {
    return FillOrder(slots, racks, shape, left) < FillOrder(slots, racks, shape, right);
  });
  std::vector<int> places;
  for (const int index : order) {
    const int left = shape.members - static_cast<int>(places.size());
    places.insert(places.end(), MembersThatFit(slots[index], shape, left), index);
  }
  return places;
}

// Returns the rank of `places` by speed: the last tier among the members, and of equal ones those without a
// mix of tiers first.
std::int64_t SpeedCost(const capacity_slots& slots, const unit_shape& shape, const std::vector<int>& places) {
  if (!shape.speed.by_speed) return 0;
  int first = kSpeedTiers;
  int last = 0;
  for (const int place : places) {
    const int tier = SpeedTier(shape.speed, slots[place].worker->speed);
    first = std::min(first, tier);
    last = std::max(last, tier);
  }
  return 2 * last + (first < last ? 1 : 0);
}

// Returns the number of `places` on workers that `shape` avoids.
std::int64_t CountAvoided(const capacity_slots& slots, const unit_shape& shape,
                          const std::vector<int>& places) {
  if (shape.avoided.empty()) return 0;
  return std::count_if(places.begin(), places.end(), [&](int place) {
    return shape.avoided.contains(slots[place].worker->registration.id);
  });
}

}  // namespace

bool IsEligible(const worker_entry& worker, const unit_shape& shape) {
  const worker_registration& registration = worker.registration;
  if (registration.service != shape.service) return false;
  const std::string& label = shape.step->required_label;
  const auto& labels = registration.labels;
  return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

int MembersThatFit(const worker_slot& slot, const unit_shape& shape, int limit) {
  const resources& need = shape.step->need;
  int fits = CountFitting(slot.free.cpu_millis, need.cpu_millis, limit);
  fits = CountFitting(slot.free.memory_mib, need.memory_mib, fits);
  fits = CountFitting(slot.free.accelerators, need.accelerators, fits);
  // Most slots of a loaded pool are full, and the numbers are compared faster than the names.
  if (fits == 0 || !IsEligible(*slot.worker, shape)) return 0;
  if (shape.step->max_per_worker > 0) {
    const auto already = shape.already_on.find(slot.worker->registration.id);
    const int current = already == shape.already_on.end() ? 0 : already->second;
    fits = std::min(fits, std::max(0, shape.step->max_per_worker - current));
  }
  return fits;
}

rack_index MakeRackIndex(const capacity_slots& slots) {
  rack_index index;
  index.all.reserve(slots.size());
  for (std::size_t i = 0; i < slots.size(); ++i) {
    index.racks[slots[i].worker->registration.rack].push_back(static_cast<int>(i));
    index.all.push_back(static_cast<int>(i));
  }
  index.rack_free.resize(slots.size());
  for (const auto& [rack, group] : index.racks) {
    const std::int64_t free = FreeAccelerators(slots, group);
    for (const int slot : group) index.rack_free[slot] = free;
  }
  return index;
}

std::vector<const std::vector<int>*> PlacementGroups(const rack_index& index, const unit_shape& shape,
                                                     placement_reach reach) {
  if (reach == placement_reach::kAnywhere) return {&index.all};
  if (!shape.step->data_rack.empty()) {
    const auto found = index.racks.find(shape.step->data_rack);
    if (found == index.racks.end()) return {};
    return {&found->second};
  }
  if (!shape.step->same_rack || shape.members == 1) return {&index.all};
  std::vector<const std::vector<int>*> groups;
  groups.reserve(index.racks.size());
  for (const auto& [rack, group] : index.racks) groups.push_back(&group);
  return groups;
}

std::optional<std::vector<int>> PlaceUnit(const capacity_slots& slots, const rack_index& index,
                                          const unit_shape& shape, placement_reach reach) {
  using placement_cost = std::tuple<std::int64_t, std::int64_t, std::int64_t>;
  std::optional<std::vector<int>> best;
  placement_cost best_cost;
  for (const std::vector<int>* group : PlacementGroups(index, shape, reach)) {
    const std::int64_t free = FreeAccelerators(slots, *group);
    if (best && placement_cost(0, 0, free) >= best_cost) continue;
    std::optional<std::vector<int>> places = PlaceInGroup(slots, index, shape, *group);
    if (!places) continue;
    const placement_cost cost(CountAvoided(slots, shape, *places), SpeedCost(slots, shape, *places), free);
    if (best && cost >= best_cost) continue;
    best = std::move(places);
    best_cost = cost;
  }
  return best;
}

start_speeds SlowestSpeed(const capacity_slots& slots, const std::vector<int>& places,
                          const speed_need& need) {
  start_speeds speeds;
  if (!need.by_speed) return speeds;
  speeds.needed = need.lowest;
  for (const int place : places) {
    const double speed = PlacementSpeed(slots[place].worker->speed);
    speeds.slowest = speeds.slowest == 0.0 ? speed : std::min(speeds.slowest, speed);
  }
  return speeds;
}

bool FitsNearWhenEmpty(const capacity_slots& slots, const rack_index& index, const unit_shape& shape) {
  capacity_slots empty = slots;
  for (worker_slot& slot : empty) slot.free = slot.worker->registration.capacity;
  unit_shape empty_shape = shape;
  empty_shape.already_on.clear();
  return PlaceUnit(empty, index, empty_shape, placement_reach::kNear).has_value();
}

}  // namespace hickorystall::state::pool
