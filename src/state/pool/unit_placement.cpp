#include "state/pool/unit_placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

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

std::optional<std::vector<int>> PlaceInGroup(const capacity_slots& slots, const unit_shape& shape,
                                             const std::vector<int>& group) {
  std::vector<int> order;
  int member_capacity = 0;
  for (const int index : group) {
    const int fits = MembersThatFit(slots[index], shape, shape.members);
    if (fits == 0) continue;
    order.push_back(index);
    member_capacity += fits;
  }
  if (member_capacity < shape.members) return std::nullopt;
  const auto key = [&slots, &shape](int index) {
    const worker_slot& slot = slots[index];
    return std::tuple(shape.avoided.contains(slot.worker->registration.id), slot.worker->failures_in_row,
                      slot.free.accelerators, slot.free.cpu_millis, index);
  };
  std::sort(order.begin(), order.end(), [&key](int left, int right) { return key(left) < key(right); });
  std::vector<int> places;
  for (const int index : order) {
    const int left = shape.members - static_cast<int>(places.size());
    places.insert(places.end(), MembersThatFit(slots[index], shape, left), index);
  }
  return places;
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
  if (!IsEligible(*slot.worker, shape)) return 0;
  const resources& need = shape.step->need;
  int fits = CountFitting(slot.free.cpu_millis, need.cpu_millis, limit);
  fits = CountFitting(slot.free.memory_mib, need.memory_mib, fits);
  fits = CountFitting(slot.free.accelerators, need.accelerators, fits);
  if (shape.step->max_per_worker > 0) {
    const auto already = shape.already_on.find(slot.worker->registration.id);
    const int current = already == shape.already_on.end() ? 0 : already->second;
    fits = std::min(fits, std::max(0, shape.step->max_per_worker - current));
  }
  return fits;
}

std::vector<std::vector<int>> PlacementGroups(const capacity_slots& slots, const unit_shape& shape,
                                              placement_reach reach) {
  const bool near = reach == placement_reach::kNear;
  const bool by_rack = near && shape.step->same_rack && shape.members > 1;
  std::map<std::string_view, std::vector<int>> groups;
  for (std::size_t i = 0; i < slots.size(); ++i) {
    const std::string& rack = slots[i].worker->registration.rack;
    if (near && !shape.step->data_rack.empty() && rack != shape.step->data_rack) continue;
    groups[by_rack ? std::string_view(rack) : std::string_view()].push_back(static_cast<int>(i));
  }
  std::vector<std::vector<int>> result;
  result.reserve(groups.size());
  for (auto& [rack, group] : groups) result.push_back(std::move(group));
  return result;
}

std::optional<std::vector<int>> PlaceUnit(const capacity_slots& slots, const unit_shape& shape,
                                          placement_reach reach) {
  std::optional<std::vector<int>> best;
  std::int64_t best_free = std::numeric_limits<std::int64_t>::max();
  for (const std::vector<int>& group : PlacementGroups(slots, shape, reach)) {
    const std::int64_t free = FreeAccelerators(slots, group);
    if (free >= best_free) continue;
    std::optional<std::vector<int>> places = PlaceInGroup(slots, shape, group);
    if (!places) continue;
    best = std::move(places);
    best_free = free;
  }
  return best;
}

bool FitsNearWhenEmpty(const capacity_slots& slots, const unit_shape& shape) {
  capacity_slots empty = slots;
  for (worker_slot& slot : empty) slot.free = slot.worker->registration.capacity;
  unit_shape empty_shape = shape;
  empty_shape.already_on.clear();
  return PlaceUnit(empty, empty_shape, placement_reach::kNear).has_value();
}

}  // namespace hickorystall::state::pool
